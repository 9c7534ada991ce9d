/// @file The targets that this entry owns, and their slots.
#pragma once

#include "DispatchTypes.h"

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Camphor {

using TargetIndex = std::uint32_t;
/// Identifies an attempt among those of one target: a hash of the attempt id.
using AttemptKey = std::uint64_t;

[[nodiscard]] AttemptKey attemptKey(std::string_view attemptId);

/// Counts the slots of owned targets and finds targets with free slots. A slot is free only if it
/// is used neither by an attempt of this entry nor by one that the target reports as running.
class TargetRegistry
{
public:
    /// Cap of a target without a limit on its attempts in flight.
    static constexpr std::uint32_t NoCap = std::numeric_limits<std::uint32_t>::max();
    /// A target without a heartbeat for this long gets no new work.
    static constexpr Milliseconds HeartbeatTimeout{3'000};
    /// An unusable target is removed, with its health state, this long after its last heartbeat.
    static constexpr Milliseconds RetentionPeriod{60'000};

    /// Returns the index of a service of this pool, or nothing for other services.
    using ServiceIndexOf = std::function<std::optional<std::uint32_t>(const std::string &)>;

    struct Announced
    {
        TargetIndex target = 0;
        bool isNew = false;
    };

    /// Applies an announcement or heartbeat. Attempts with an unknown outcome release their slots
    /// once the target no longer reports them as running; reported attempts that this entry did not
    /// start occupy slots.
    Announced announce(const TargetAnnouncement &announcement, const ServiceIndexOf &indexOf,
                       Milliseconds now);
    /// Marks the target as unusable, so that it gets no new work.
    void retire(const std::string &id);
    /// Retires targets without heartbeats. Returns the removed targets, whose indices will be
    /// reused.
    std::vector<TargetIndex> expire(Milliseconds now);

    /// Limits the attempts in flight on a target; 0 stops new work.
    void setCap(TargetIndex target, std::uint32_t cap);

    /// Occupies a slot for an attempt. A slot must be free; only the cap may be exceeded, by a
    /// trial.
    void acquireSlot(TargetIndex target, std::uint32_t service, AttemptKey key);
    void releaseSlot(TargetIndex target, AttemptKey key);
    /// The outcome of the attempt is unknown: its slot stays in use until a heartbeat no longer
    /// lists the attempt.
    void markOutcomeUnknown(TargetIndex target, AttemptKey key);

    /// Free slots of all usable targets, under their caps.
    [[nodiscard]] std::uint32_t freeSlots() const { return m_free; }
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] std::uint32_t usableTargets() const { return m_usable; }
    [[nodiscard]] std::uint32_t freeSlots(std::uint32_t service) const;
    [[nodiscard]] std::uint32_t slots(std::uint32_t service) const;
    [[nodiscard]] std::uint32_t usableTargets(std::uint32_t service) const;

    [[nodiscard]] std::uint32_t freeSlots(TargetIndex target, std::uint32_t service) const;
    /// Whether the target has a free slot for the service, regardless of its cap.
    [[nodiscard]] bool hasSlotIgnoringCap(TargetIndex target, std::uint32_t service) const;
    [[nodiscard]] bool canOffer(TargetIndex target, std::uint32_t service) const
    {
        return offerOf(target, service) != nullptr;
    }
    [[nodiscard]] std::uint32_t inUse(TargetIndex target) const;
    [[nodiscard]] std::uint32_t total(TargetIndex target) const;
    [[nodiscard]] std::uint32_t rack(TargetIndex target) const { return m_targets[target].rack; }
    [[nodiscard]] const std::string &id(TargetIndex target) const { return m_targets[target].id; }
    [[nodiscard]] const Address &address(TargetIndex target) const
    {
        return m_targets[target].address;
    }
    [[nodiscard]] std::optional<TargetIndex> find(const std::string &id) const;
    /// All records, including unusable targets; an unused record has an empty id.
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }
    [[nodiscard]] bool isUsable(TargetIndex target) const { return m_targets[target].isUsable; }

    /// Targets grouped into classes by their free slots for a service, for placement policies.
    /// Targets with MaxFreeClass or more free slots share the last class.
    static constexpr std::uint32_t MaxFreeClass = 63;
    [[nodiscard]] std::uint64_t nonEmptyClasses(std::uint32_t service) const;
    [[nodiscard]] const std::vector<TargetIndex> &classMembers(std::uint32_t service,
                                                               std::uint32_t freeClass) const;
    /// Usable targets that offer the service, in unspecified order.
    [[nodiscard]] const std::vector<TargetIndex> &members(std::uint32_t service) const;

private:
    static constexpr std::uint32_t None = 0xffffffff;
    /// Finished attempts to retain, because a heartbeat composed before their end may still list
    /// them.
    static constexpr std::size_t RecentCount = 64;

    struct Offer
    {
        std::uint32_t service = 0;
        std::uint32_t limit = 0;
        std::uint32_t inUse = 0;
        std::uint32_t countedFree = 0; ///< Part of ServiceIndex::free.
        std::uint32_t countedSlots = 0;
        std::uint32_t position = None; ///< In ServiceIndex::classes of its free slots.
        std::uint32_t memberPosition = None;
    };

    struct Running
    {
        AttemptKey key = 0;
        std::uint32_t service = 0;
        bool isOutcomeUnknown = false;
    };

    struct Target
    {
        std::string id;
        Address address;
        std::uint32_t rack = 0;
        std::vector<Offer> offers;
        std::uint32_t total = 0;
        std::uint32_t cap = NoCap;
        std::uint32_t foreignAttempts = 0; ///< Reported attempts that other entries started.
        std::uint32_t countedFree = 0;
        std::uint32_t countedSlots = 0;
        bool isUsable = false;
        Milliseconds lastHeartbeat;
        std::vector<Running> running;
        std::array<AttemptKey, RecentCount> recent{};
        std::size_t nextRecent = 0;
    };

    struct ServiceIndex
    {
        std::uint32_t free = 0;
        std::uint32_t slots = 0;
        std::uint64_t nonEmptyMask = 0;
        std::array<std::vector<TargetIndex>, MaxFreeClass + 1> classes;
        std::vector<TargetIndex> members;
    };

    [[nodiscard]] static std::uint32_t freeOf(const Target &target, const Offer &offer,
                                              std::uint32_t cap);
    TargetIndex findOrAddTarget(const std::string &id, bool &isNew);
    void setOffers(TargetIndex index, const TargetAnnouncement &announcement,
                   const ServiceIndexOf &indexOf);
    void reconcile(Target &target, const std::vector<std::string> &listed);
    void refresh(TargetIndex index);
    void removeOffers(TargetIndex index);
    void updateFreeClass(TargetIndex index, Offer &offer, std::uint32_t free);
    void setMember(TargetIndex index, Offer &offer, bool isMember);
    void removeOffer(TargetIndex index, Offer &offer);
    [[nodiscard]] Offer *offerOf(TargetIndex target, std::uint32_t service);
    [[nodiscard]] const Offer *offerOf(TargetIndex target, std::uint32_t service) const;
    [[nodiscard]] std::uint32_t rackIndex(const std::string &rack);
    void removeRunning(Target &target, std::size_t position);

    std::vector<Target> m_targets;
    std::vector<TargetIndex> m_unused;
    std::unordered_map<std::string, TargetIndex> m_byId;
    std::unordered_map<std::string, std::uint32_t> m_racks;
    std::vector<ServiceIndex> m_services;
    std::uint32_t m_free = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_usable = 0;
};

} // namespace Camphor
