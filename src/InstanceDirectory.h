/// @file The known instances, merged from their reports.
#pragma once

#include "FleetTypes.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// Stores the newest report of each instance. A later incarnation replaces an earlier one, and
/// within an incarnation the higher sequence number wins, so late and reordered reports have no
/// effect. Performs no I/O: the current time is an argument.
class InstanceDirectory
{
public:
    /// @param contactTimeout an instance that has not reported for this long is gone.
    explicit InstanceDirectory(Milliseconds contactTimeout)
        : m_contactTimeout(contactTimeout)
    {
    }

    /// Processes a report. @return whether it contains a change that entries must learn of.
    bool report(const InstanceReport &report, Milliseconds now);
    /// The instance has left. Reports of the same incarnation that arrive later are ignored.
    bool leave(const std::string &id, std::uint64_t startTimeMs, Milliseconds now);
    /// Marks instances as gone that have not reported within the timeout, and evicts those that
    /// have been gone for long. @return whether any instance was newly marked.
    bool expire(Milliseconds now);

    /// Increases with each change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// The reports that changed after a revision, in no particular order and including gone
    /// instances.
    [[nodiscard]] std::vector<InstanceReport> changesSince(std::uint64_t revision) const;
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        InstanceReport report;
        std::uint64_t revision = 0;
        Milliseconds lastContactAt;
        /// It has announced that it leaves, so no late report revives this incarnation.
        bool hasLeft = false;
    };

    Milliseconds m_contactTimeout;
    std::uint64_t m_revision = 0;
    std::map<std::string, Record> m_records;
};

/// An entry's view of the instances, merged from several members of the control group. What an
/// unreachable member reported last stays valid until another member reports something newer.
class InstanceView
{
public:
    /// Merges a report that a member passed on. @return whether the view changed.
    bool merge(const InstanceReport &report, Milliseconds now);
    /// Evicts instances that have been gone for so long that no member passes on a report from
    /// before. @return whether the view changed.
    bool evictGone(Milliseconds now);

    [[nodiscard]] const std::map<std::string, InstanceReport> &instances() const
    {
        return m_instances;
    }

private:
    std::map<std::string, InstanceReport> m_instances;
    std::map<std::string, Milliseconds> m_goneSince; ///< By id, for those that are gone.
};

} // namespace Camphor
