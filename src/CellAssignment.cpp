#include "CellAssignment.h"

#include "CellMap.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Camphor {

namespace {

class Assignment
{
public:
    Assignment(const std::map<std::string, EntryContact> &contacts,
               const std::map<std::string, CellGrant> &grants, Milliseconds leaderSince,
               Milliseconds now, const CellAssignmentSettings &settings)
        : m_contacts(contacts)
        , m_grants(grants)
        , m_cells(grants)
        , m_leaderSince(leaderSince)
        , m_now(now)
        , m_settings(settings)
    {
    }

    [[nodiscard]] std::optional<GrantCellCommand> next(const std::string &domain) const
    {
        const auto count = cellCount(domain);
        const auto *chosen = bestEntry(domain);
        if (chosen == nullptr)
            return std::nullopt;
        for (std::uint32_t cell = 0; cell < count; ++cell) {
            CellGrant current{domain, cell, count, {}, {}, 0, 0};
            if (const auto it = m_grants.find(current.name()); it != m_grants.end())
                current = it->second;
            if (current.cellCount == count && !needsNewHolder(current, *chosen))
                continue;
            const auto &entry = chosen->entry;
            return GrantCellCommand{
                {domain, cell, count, entry.name, entry.address, entry.incarnation, 0},
                current.token};
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] bool isAvailable(const EntryContact &contact) const
    {
        return !contact.isLeaving && m_now - contact.lastContactAt <= m_settings.holderTimeout;
    }

    /// The entry of a domain that knows the most instances, or null if there is no entry.
    [[nodiscard]] const EntryContact *bestInformed(const std::string &domain) const
    {
        const EntryContact *best = nullptr;
        for (const auto &[name, contact] : m_contacts) {
            if (contact.entry.domain == domain
                && (best == nullptr || contact.instances > best->instances))
                best = &contact;
        }
        return best;
    }

    /// Whether a domain may be divided for the first time.
    [[nodiscard]] bool hasSettled(const std::string &domain) const
    {
        const auto leaderAge = m_now - m_leaderSince;
        if (leaderAge < m_settings.firstGrantDelay)
            return false;
        const auto *informed = bestInformed(domain);
        const bool isStable = informed != nullptr
            && m_now - informed->instancesSince >= m_settings.instanceSettleTime;
        return isStable || leaderAge >= m_settings.maxFirstGrantDelay;
    }

    /// The current number of cells, or a new one if the domain has outgrown it.
    [[nodiscard]] std::uint32_t cellCount(const std::string &domain) const
    {
        const auto *informed = bestInformed(domain);
        const auto targetCount = cellCountFor(informed == nullptr ? 0 : informed->instances);
        const auto &domainCells = m_cells.cells(domain);
        if (domainCells.empty())
            return targetCount;
        // A new division moves all instances of the domain, so small changes do not justify one.
        const auto currentCount = domainCells.front().cellCount;
        return targetCount >= 2 * currentCount ? targetCount : currentCount;
    }

    [[nodiscard]] bool needsNewHolder(const CellGrant &current, const EntryContact &chosen) const
    {
        const auto leaderAge = m_now - m_leaderSince;
        if (current.token == 0)
            return hasSettled(current.domain);
        const auto holder = m_contacts.find(current.holder);
        const bool isKnown = holder != m_contacts.end();
        // A holder that has restarted has lost the state of its cells.
        if (isKnown && holder->second.entry.incarnation != current.incarnation)
            return true;
        if (leaderAge < m_settings.newLeaderGrace)
            return false;
        if (isKnown && isAvailable(holder->second)) {
            // A cell moves back when one of its domain's own entries is available again.
            return holder->second.entry.domain != current.domain
                && chosen.entry.domain == current.domain;
        }
        if (isKnown && holder->second.isLeaving)
            return true;
        // The leader has no contact with the holder. If another entry still has, the holder keeps
        // its cells.
        return std::ranges::none_of(m_contacts, [&](const auto &it) {
            const auto &reachable = it.second.reachableHolders;
            return isAvailable(it.second) && it.first != current.holder
                && std::ranges::find(reachable, current.holder) != reachable.end();
        });
    }

    /// Number of cells that an entry serves. Cells of its earlier incarnations will be granted
    /// again.
    [[nodiscard]] std::size_t load(const EntryIdentity &entry) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_grants, [&](const auto &it) {
            return it.second.holder == entry.name && it.second.incarnation == entry.incarnation;
        }));
    }

    /// The entry that should get the next cell of a domain.
    [[nodiscard]] const EntryContact *bestEntry(const std::string &domain) const
    {
        Milliseconds ownDomainContactAt = m_leaderSince;
        const EntryContact *chosen = nullptr;
        const auto rank = [&](const EntryContact &it) {
            // What each core of the entry would serve with one more cell.
            const auto cells = static_cast<double>(load(it.entry) + 1);
            return std::make_tuple(it.entry.domain != domain, cells / it.cpuShare);
        };
        for (const auto &[name, contact] : m_contacts) {
            if (contact.entry.domain == domain)
                ownDomainContactAt = std::max(ownDomainContactAt, contact.lastContactAt);
            if (isAvailable(contact) && (chosen == nullptr || rank(contact) < rank(*chosen)))
                chosen = &contact;
        }
        const bool isForeign = chosen != nullptr && chosen->entry.domain != domain;
        if (isForeign && m_now - ownDomainContactAt < m_settings.foreignTakeoverDelay)
            return nullptr;
        return chosen;
    }

    const std::map<std::string, EntryContact> &m_contacts;
    const std::map<std::string, CellGrant> &m_grants;
    CellMap m_cells;
    Milliseconds m_leaderSince;
    Milliseconds m_now;
    const CellAssignmentSettings &m_settings;
};

} // namespace

std::optional<GrantCellCommand> nextGrant(const std::vector<std::string> &domains,
                                          const std::map<std::string, EntryContact> &contacts,
                                          const std::map<std::string, CellGrant> &grants,
                                          Milliseconds leaderSince, Milliseconds now,
                                          const CellAssignmentSettings &settings)
{
    const Assignment assignment(contacts, grants, leaderSince, now, settings);
    for (const auto &domain : domains) {
        if (auto command = assignment.next(domain))
            return command;
    }
    return std::nullopt;
}

std::vector<GrantCellCommand> dueGrants(const std::vector<std::string> &domains,
                                        const std::map<std::string, EntryContact> &contacts,
                                        const std::map<std::string, CellGrant> &grants,
                                        Milliseconds leaderSince, Milliseconds now,
                                        const CellAssignmentSettings &settings)
{
    std::vector<GrantCellCommand> commands;
    // Each change is applied to the expected grants, so that the next one takes the resulting load
    // into account.
    auto expected = grants;
    std::set<std::string> changed;
    while (auto command = nextGrant(domains, contacts, expected, leaderSince, now, settings)) {
        const auto name = command->next.name();
        // A cell that would change twice has to wait for its first change.
        if (!changed.insert(name).second)
            break;
        expected[name] = command->next;
        expected[name].token = command->expectedToken + 1;
        commands.push_back(std::move(*command));
    }
    return commands;
}

} // namespace Camphor
