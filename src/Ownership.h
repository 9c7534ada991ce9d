/// @file Assignment of targets to the entries of a failure domain.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// Rendezvous hashing of targets to entries. All entries with the same set of instances compute the
/// same owner, and adding or removing an instance moves only the targets of that instance.
class Ownership
{
public:
    /// @param instances the live entries of the domain, in any order; duplicates count once.
    [[nodiscard]] static Ownership make(std::vector<std::string> instances);

    /// The owner of a target; empty if there is no instance.
    [[nodiscard]] const std::string &owner(std::string_view targetId) const;
    [[nodiscard]] const std::vector<std::string> &instances() const { return m_instances; }

    bool operator==(const Ownership &other) const { return m_instances == other.m_instances; }

private:
    std::vector<std::string> m_instances; ///< Sorted.
    std::vector<std::uint64_t> m_seeds; ///< Hash of each instance.
};

} // namespace Camphor
