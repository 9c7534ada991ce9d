#include "TargetRegistry.h"

#include <xxhash.h>

#include <algorithm>

namespace Camphor {

AttemptKey attemptKey(std::string_view attemptId)
{
    return XXH3_64bits(attemptId.data(), attemptId.size());
}

TargetIndex TargetRegistry::findOrAddTarget(const std::string &id, bool &isNew)
{
    const auto it = m_byId.find(id);
    isNew = it == m_byId.end();
    if (!isNew)
        return it->second;
    TargetIndex index = 0;
    if (m_unused.empty()) {
        index = static_cast<TargetIndex>(m_targets.size());
        m_targets.emplace_back();
    } else {
        index = m_unused.back();
        m_unused.pop_back();
        m_targets[index] = Target{};
    }
    m_targets[index].id = id;
    m_byId.emplace(id, index);
    return index;
}

std::uint32_t TargetRegistry::rackIndex(const std::string &rack)
{
    return m_racks.try_emplace(rack, static_cast<std::uint32_t>(m_racks.size())).first->second;
}

TargetRegistry::Announced TargetRegistry::announce(const TargetAnnouncement &announcement,
                                                   const ServiceIndexOf &indexOf, Milliseconds now)
{
    Announced result;
    result.target = findOrAddTarget(announcement.id, result.isNew);
    auto &target = m_targets[result.target];
    target.address = announcement.address;
    target.rack = rackIndex(announcement.rack);
    target.lastHeartbeat = now;
    setOffers(result.target, announcement, indexOf);
    reconcile(target, announcement.running);
    if (announcement.isLeaving)
        retire(announcement.id);
    else if (!target.isUsable) {
        target.isUsable = true;
        ++m_usable;
    }
    refresh(result.target);
    return result;
}

void TargetRegistry::setOffers(TargetIndex index, const TargetAnnouncement &announcement,
                               const ServiceIndexOf &indexOf)
{
    auto &target = m_targets[index];
    std::vector<Offer> offers;
    std::uint32_t largest = 0;
    for (const auto &it : announcement.services) {
        const auto service = indexOf(it.service);
        if (!service || it.slots == 0)
            continue;
        largest = std::max(largest, it.slots);
        if (*service >= m_services.size())
            m_services.resize(*service + 1);
        offers.push_back({.service = *service, .limit = it.slots});
    }
    target.total = announcement.slots != 0 ? announcement.slots : largest;
    const auto isSame = std::ranges::equal(offers, target.offers, [](const auto &a, const auto &b) {
        return a.service == b.service && a.limit == b.limit;
    });
    if (isSame)
        return;
    removeOffers(index);
    for (auto &it : offers)
        it.inUse = static_cast<std::uint32_t>(
            std::ranges::count(target.running, it.service, &Running::service));
    target.offers = std::move(offers);
}

void TargetRegistry::reconcile(Target &target, const std::vector<std::string> &listed)
{
    std::vector<AttemptKey> keys;
    keys.reserve(listed.size());
    std::ranges::transform(listed, std::back_inserter(keys),
                           [](const auto &it) { return attemptKey(it); });
    for (std::size_t n = target.running.size(); n-- > 0;)
        if (target.running[n].isOutcomeUnknown
            && std::ranges::count(keys, target.running[n].key) == 0)
            removeRunning(target, n);
    target.foreignAttempts =
        static_cast<std::uint32_t>(std::ranges::count_if(keys, [&](AttemptKey key) {
            return std::ranges::count(target.running, key, &Running::key) == 0
                && std::ranges::count(target.recent, key) == 0;
        }));
}

void TargetRegistry::removeRunning(Target &target, std::size_t position)
{
    const auto running = target.running[position];
    const auto offer = std::ranges::find(target.offers, running.service, &Offer::service);
    if (offer != target.offers.end())
        --offer->inUse;
    target.running[position] = target.running.back();
    target.running.pop_back();
    target.recent[target.nextRecent++ % RecentCount] = running.key;
}

void TargetRegistry::retire(const std::string &id)
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end() || !m_targets[it->second].isUsable)
        return;
    m_targets[it->second].isUsable = false;
    --m_usable;
    refresh(it->second);
}

std::vector<TargetIndex> TargetRegistry::expire(Milliseconds now)
{
    std::vector<TargetIndex> removed;
    for (TargetIndex n = 0; n < m_targets.size(); ++n) {
        auto &target = m_targets[n];
        if (target.id.empty())
            continue;
        const auto sinceHeartbeat = now - target.lastHeartbeat;
        if (target.isUsable && sinceHeartbeat >= HeartbeatTimeout)
            retire(target.id);
        // No heartbeat of a vanished target will release attempts with an unknown outcome, so these
        // do not prevent its removal.
        const auto isIdle = std::ranges::all_of(target.running, &Running::isOutcomeUnknown);
        if (target.isUsable || sinceHeartbeat < RetentionPeriod || !isIdle)
            continue;
        removeOffers(n);
        m_byId.erase(target.id);
        target = Target{};
        m_unused.push_back(n);
        removed.push_back(n);
    }
    return removed;
}

std::uint32_t TargetRegistry::freeOf(const Target &target, const Offer &offer, std::uint32_t cap)
{
    const auto used = static_cast<std::uint32_t>(target.running.size());
    const auto cappedTotal = std::min(target.total, cap);
    const auto occupied = used + target.foreignAttempts;
    if (!target.isUsable || occupied >= target.total || used >= cappedTotal
        || offer.inUse >= offer.limit)
        return 0;
    return std::min({offer.limit - offer.inUse, target.total - occupied, cappedTotal - used});
}

void TargetRegistry::updateFreeClass(TargetIndex index, Offer &offer, std::uint32_t free)
{
    if (free == offer.countedFree)
        return;
    auto &service = m_services[offer.service];
    const auto before = std::min(offer.countedFree, MaxFreeClass);
    const auto after = std::min(free, MaxFreeClass);
    service.free += free - offer.countedFree;
    offer.countedFree = free;
    if (before == after)
        return;
    if (before != 0) {
        auto &members = service.classes[before];
        const auto moved = members.back();
        members[offer.position] = moved;
        offerOf(moved, offer.service)->position = offer.position;
        members.pop_back();
        if (members.empty())
            service.nonEmptyMask &= ~(std::uint64_t{1} << before);
    }
    if (after != 0) {
        offer.position = static_cast<std::uint32_t>(service.classes[after].size());
        service.classes[after].push_back(index);
        service.nonEmptyMask |= std::uint64_t{1} << after;
    }
}

void TargetRegistry::setMember(TargetIndex index, Offer &offer, bool isMember)
{
    auto &members = m_services[offer.service].members;
    if (isMember == (offer.memberPosition != None))
        return;
    if (isMember) {
        offer.memberPosition = static_cast<std::uint32_t>(members.size());
        members.push_back(index);
        return;
    }
    const auto moved = members.back();
    members[offer.memberPosition] = moved;
    offerOf(moved, offer.service)->memberPosition = offer.memberPosition;
    members.pop_back();
    offer.memberPosition = None;
}

void TargetRegistry::refresh(TargetIndex index)
{
    auto &target = m_targets[index];
    std::uint64_t offered = 0;
    for (auto &offer : target.offers) {
        const auto free = freeOf(target, offer, target.cap);
        const auto slots = target.isUsable ? std::min(offer.limit, target.total) : 0;
        m_services[offer.service].slots += slots - offer.countedSlots;
        offer.countedSlots = slots;
        updateFreeClass(index, offer, free);
        setMember(index, offer, target.isUsable);
        offered += free;
    }
    // The services share the slots of the target, so their sum is only an upper bound.
    const auto used = static_cast<std::uint32_t>(target.running.size());
    const auto occupied = used + target.foreignAttempts;
    const auto rest = std::min(target.total - std::min(target.total, occupied),
                               target.cap - std::min(target.cap, used));
    const auto free = static_cast<std::uint32_t>(std::min<std::uint64_t>(offered, rest));
    m_free += free - target.countedFree;
    target.countedFree = free;
    const auto slots = target.isUsable && !target.offers.empty() ? target.total : 0;
    m_slots += slots - target.countedSlots;
    target.countedSlots = slots;
}

void TargetRegistry::removeOffer(TargetIndex index, Offer &offer)
{
    updateFreeClass(index, offer, 0);
    setMember(index, offer, false);
    m_services[offer.service].slots -= offer.countedSlots;
    offer.countedSlots = 0;
}

void TargetRegistry::removeOffers(TargetIndex index)
{
    auto &target = m_targets[index];
    for (auto &offer : target.offers)
        removeOffer(index, offer);
    target.offers.clear();
    refresh(index);
}

void TargetRegistry::setCap(TargetIndex target, std::uint32_t cap)
{
    if (m_targets[target].cap == cap)
        return;
    m_targets[target].cap = cap;
    refresh(target);
}

void TargetRegistry::acquireSlot(TargetIndex index, std::uint32_t service, AttemptKey key)
{
    CAMPHOR_ASSERT(hasSlotIgnoringCap(index, service));
    auto &target = m_targets[index];
    ++offerOf(index, service)->inUse;
    target.running.push_back({key, service, false});
    refresh(index);
}

void TargetRegistry::releaseSlot(TargetIndex index, AttemptKey key)
{
    auto &target = m_targets[index];
    const auto it = std::ranges::find(target.running, key, &Running::key);
    if (it == target.running.end())
        return;
    removeRunning(target, static_cast<std::size_t>(it - target.running.begin()));
    refresh(index);
}

void TargetRegistry::markOutcomeUnknown(TargetIndex index, AttemptKey key)
{
    auto &running = m_targets[index].running;
    const auto it = std::ranges::find(running, key, &Running::key);
    if (it != running.end())
        it->isOutcomeUnknown = true;
}

TargetRegistry::Offer *TargetRegistry::offerOf(TargetIndex target, std::uint32_t service)
{
    auto &offers = m_targets[target].offers;
    const auto it = std::ranges::find(offers, service, &Offer::service);
    return it == offers.end() ? nullptr : &*it;
}

const TargetRegistry::Offer *TargetRegistry::offerOf(TargetIndex target,
                                                     std::uint32_t service) const
{
    const auto &offers = m_targets[target].offers;
    const auto it = std::ranges::find(offers, service, &Offer::service);
    return it == offers.end() ? nullptr : &*it;
}

std::uint32_t TargetRegistry::freeSlots(std::uint32_t service) const
{
    return service < m_services.size() ? m_services[service].free : 0;
}

std::uint32_t TargetRegistry::slots(std::uint32_t service) const
{
    return service < m_services.size() ? m_services[service].slots : 0;
}

std::uint32_t TargetRegistry::usableTargets(std::uint32_t service) const
{
    return static_cast<std::uint32_t>(members(service).size());
}

std::uint32_t TargetRegistry::freeSlots(TargetIndex target, std::uint32_t service) const
{
    const auto *offer = offerOf(target, service);
    return offer == nullptr ? 0 : offer->countedFree;
}

bool TargetRegistry::hasSlotIgnoringCap(TargetIndex target, std::uint32_t service) const
{
    const auto *offer = offerOf(target, service);
    return offer != nullptr && freeOf(m_targets[target], *offer, NoCap) > 0;
}

std::uint32_t TargetRegistry::inUse(TargetIndex target) const
{
    return static_cast<std::uint32_t>(m_targets[target].running.size());
}

std::uint32_t TargetRegistry::total(TargetIndex target) const { return m_targets[target].total; }

std::optional<TargetIndex> TargetRegistry::find(const std::string &id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? std::nullopt : std::optional(it->second);
}

std::uint64_t TargetRegistry::nonEmptyClasses(std::uint32_t service) const
{
    return service < m_services.size() ? m_services[service].nonEmptyMask : 0;
}

const std::vector<TargetIndex> &TargetRegistry::classMembers(std::uint32_t service,
                                                             std::uint32_t freeClass) const
{
    return m_services[service].classes[freeClass];
}

const std::vector<TargetIndex> &TargetRegistry::members(std::uint32_t service) const
{
    static const std::vector<TargetIndex> Nothing;
    return service < m_services.size() ? m_services[service].members : Nothing;
}

} // namespace Camphor
