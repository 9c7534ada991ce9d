/// @file What is known about the instances, merged from their reports.
#pragma once

#include "FleetTypes.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// Keeps the newest report of each instance. A later life replaces an earlier one, and within a
/// life the higher sequence number wins, so late and reordered reports change nothing. Pure: the
/// current time is an argument.
class InstanceDirectory
{
public:
    /// @param silence an instance that is not heard for this long is gone.
    explicit InstanceDirectory(Milliseconds silence)
        : m_silence(silence)
    {
    }

    /// Takes a report. @return whether it changed what others need to know.
    bool report(const InstanceReport &report, Milliseconds now);
    /// The instance has left. A report of the same life that arrives later is ignored.
    bool leave(const std::string &id, std::uint64_t bornMs, Milliseconds now);
    /// Marks instances as gone that were silent for too long, and forgets those gone for long.
    /// @return whether anything changed.
    bool expire(Milliseconds now);

    /// Grows with each change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// All that changed after a revision, in no order; gone instances are included.
    [[nodiscard]] std::vector<InstanceReport> changesSince(std::uint64_t revision) const;
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        InstanceReport report;
        std::uint64_t revision = 0;
        Milliseconds heardAt;
        bool hasLeft = false; ///< By its own word, so that no late report revives this life.
    };

    Milliseconds m_silence;
    std::uint64_t m_revision = 0;
    std::map<std::string, Record> m_records;
};

/// The instances as an entry sees them through several members of the control group. A member
/// that can't be reached keeps its last word until another member knows better.
class InstanceView
{
public:
    /// Merges a report that a member passed on. @return whether the view changed.
    bool merge(const InstanceReport &report, Milliseconds now);
    /// Forgets instances that have been gone for so long that no member passes on a report from
    /// before. @return whether the view changed.
    bool forgetGone(Milliseconds now);

    [[nodiscard]] const std::map<std::string, InstanceReport> &instances() const
    {
        return m_instances;
    }

private:
    std::map<std::string, InstanceReport> m_instances;
    std::map<std::string, Milliseconds> m_goneSince; ///< By id, for those that are gone.
};

} // namespace Camphor
