/// @file Maps each key to its home domain, the failure domain whose ledger stores its claim.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// Number of buckets into which keys that are not tickets are hashed.
inline constexpr std::size_t KeyBuckets = 1024;

/// A key issued by an entry, "t-<domain>-<issueTimeMs>-<random>". Its home is the domain it names.
struct Ticket
{
    std::string domain;
    std::int64_t issueTimeMs = 0; ///< Wall clock of the issuing entry.
    std::string random; ///< Letters and digits.

    /// Parses a key, which must have the exact form of a ticket.
    [[nodiscard]] static std::optional<Ticket> parse(std::string_view key);
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const Ticket &) const = default;
};

/// The bucket of a key that is not a ticket, below KeyBuckets.
[[nodiscard]] std::size_t bucketOf(std::string_view key);

/// The home domain of each bucket. Immutable.
class BucketMap
{
public:
    /// Spreads the buckets evenly over the domains in the order of their names.
    [[nodiscard]] static BucketMap spread(std::vector<std::string> domains);
    /// A map with the given home domains, one for each bucket.
    [[nodiscard]] static BucketMap of(std::vector<std::string> homes);
    /// A copy with one bucket moved to another domain.
    [[nodiscard]] BucketMap moved(std::size_t bucket, const std::string &domain) const;

    /// The home domain of a key; empty if the map has no domains.
    [[nodiscard]] std::string homeDomainOf(std::string_view key) const;

    auto operator<=>(const BucketMap &) const = default;

private:
    std::vector<std::string> m_domains; ///< Empty, or one name for each bucket.
};

} // namespace Camphor
