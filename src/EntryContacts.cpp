#include "EntryContacts.h"

namespace Camphor {

namespace {

/// A process without contact for this long has ended, so that its successor may have any
/// incarnation. Longer than a request can be delayed behind the first one of the successor.
constexpr Milliseconds SupersededTimeout{2'000};
/// Retention of entries without contact.
constexpr Milliseconds EntryRetention{60'000};

} // namespace

EntryContacts::Change EntryContacts::update(const EntryContact &contact)
{
    const auto [it, isNew] = m_entries.try_emplace(contact.entry.name, contact);
    if (isNew)
        return Change::NewProcess;
    auto &known = it->second;
    const bool isInContact = contact.lastContactAt - known.lastContactAt < SupersededTimeout;
    if (isInContact && contact.entry.incarnation < known.entry.incarnation)
        return Change::Superseded;
    const bool isSameProcess = known.entry == contact.entry;
    const auto instancesSince =
        known.instances == contact.instances ? known.instancesSince : contact.lastContactAt;
    known = contact;
    known.instancesSince = instancesSince;
    return isSameProcess ? Change::None : Change::NewProcess;
}

void EntryContacts::evictSilent(Milliseconds now)
{
    std::erase_if(m_entries,
                  [&](const auto &it) { return now - it.second.lastContactAt > EntryRetention; });
}

} // namespace Camphor
