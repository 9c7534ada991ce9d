/// @file The targets that this entry owns and their slots.
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

/// Counts the slots of owned targets and finds targets with free slots. A slot is free only when
/// neither an attempt of this entry nor one that the target lists as running may use it.
class TargetRegistry
{
public:
    /// Cap of a target that is not limited.
    static constexpr std::uint32_t NoCap = std::numeric_limits<std::uint32_t>::max();
    /// A target without a heartbeat for so long gets no new work.
    static constexpr Milliseconds HeartbeatLimit{3'000};
    /// A target that is not usable is forgotten after so long, with its health.
    static constexpr Milliseconds ForgetAfter{60'000};

    /// @param indexOf gives the index of a service of this pool, or nothing for others.
    using ServiceIndexOf = std::function<std::optional<std::uint32_t>(const std::string &)>;

    struct Announced
    {
        TargetIndex target = 0;
        bool isNew = false;
    };

    /// Takes an announcement or heartbeat. Attempts whose end is not known free their slots when
    /// the target no longer lists them; listed ones that this entry did not start take slots.
    Announced announce(const TargetAnnouncement &announcement, const ServiceIndexOf &indexOf,
                       Milliseconds now);
    /// No new work from now on.
    void retire(const std::string &id);
    /// Retires targets without heartbeats. Returns those that were forgotten, whose indices are
    /// used again.
    std::vector<TargetIndex> expire(Milliseconds now);

    /// Limits the attempts in flight on a target; 0 stops new work.
    void setCap(TargetIndex target, std::uint32_t cap);

    /// Takes a slot. There must be a free one, unless the attempt ignores the cap as a trial.
    void take(TargetIndex target, std::uint32_t service, AttemptKey key);
    void free(TargetIndex target, AttemptKey key);
    /// The end of the attempt is not known: its slot stays taken until a heartbeat frees it.
    void hold(TargetIndex target, AttemptKey key);

    /// Free slots of all usable targets, under their caps.
    [[nodiscard]] std::uint32_t freeSlots() const { return m_free; }
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] std::uint32_t usableTargets() const { return m_usable; }
    [[nodiscard]] std::uint32_t freeSlots(std::uint32_t service) const;
    [[nodiscard]] std::uint32_t slots(std::uint32_t service) const;
    [[nodiscard]] std::uint32_t usableTargets(std::uint32_t service) const;

    [[nodiscard]] std::uint32_t freeSlots(TargetIndex target, std::uint32_t service) const;
    /// Whether the target could take one more attempt of the service if it had no cap.
    [[nodiscard]] bool canTake(TargetIndex target, std::uint32_t service) const;
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
    /// All targets, also those that are not usable; empty records have an empty id.
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }
    [[nodiscard]] bool isUsable(TargetIndex target) const { return m_targets[target].isUsable; }

    /// Targets by their free slots for a service, for placement policies. Targets with
    /// MaxFreeClass or more free slots share the last class.
    static constexpr std::uint32_t MaxFreeClass = 63;
    [[nodiscard]] std::uint64_t filledClasses(std::uint32_t service) const;
    [[nodiscard]] const std::vector<TargetIndex> &classMembers(std::uint32_t service,
                                                               std::uint32_t freeClass) const;
    /// Usable targets that offer the service, in no order.
    [[nodiscard]] const std::vector<TargetIndex> &members(std::uint32_t service) const;

private:
    static constexpr std::uint32_t None = 0xffffffff;
    /// Finished attempts that a heartbeat composed before their end may still list.
    static constexpr std::size_t RecentCount = 64;

    struct Offer
    {
        std::uint32_t service = 0;
        std::uint32_t limit = 0;
        std::uint32_t inUse = 0;
        std::uint32_t listedFree = 0; ///< Contribution to the index.
        std::uint32_t listedSlots = 0;
        std::uint32_t position = None; ///< In its class.
        std::uint32_t memberPosition = None;
    };

    struct Running
    {
        AttemptKey key = 0;
        std::uint32_t service = 0;
        bool isHeld = false;
    };

    struct Target
    {
        std::string id;
        Address address;
        std::uint32_t rack = 0;
        std::vector<Offer> offers;
        std::uint32_t total = 0;
        std::uint32_t cap = NoCap;
        std::uint32_t foreign = 0; ///< Listed attempts of other entries.
        std::uint32_t listedFree = 0;
        std::uint32_t listedSlots = 0;
        bool isUsable = false;
        Milliseconds lastHeard;
        std::vector<Running> running;
        std::array<AttemptKey, RecentCount> recent{};
        std::size_t nextRecent = 0;
    };

    struct ServiceIndex
    {
        std::uint32_t free = 0;
        std::uint32_t slots = 0;
        std::uint64_t filled = 0;
        std::array<std::vector<TargetIndex>, MaxFreeClass + 1> classes;
        std::vector<TargetIndex> members;
    };

    [[nodiscard]] static std::uint32_t freeOf(const Target &target, const Offer &offer,
                                              std::uint32_t cap);
    TargetIndex recordFor(const std::string &id, bool &isNew);
    void setOffers(TargetIndex index, const TargetAnnouncement &announcement,
                   const ServiceIndexOf &indexOf);
    void reconcile(Target &target, const std::vector<std::string> &listed);
    void refresh(TargetIndex index);
    void withdraw(TargetIndex index);
    void relist(TargetIndex index, Offer &offer, std::uint32_t free);
    void setMember(TargetIndex index, Offer &offer, bool isMember);
    void unlistOffer(TargetIndex index, Offer &offer);
    [[nodiscard]] Offer *offerOf(TargetIndex target, std::uint32_t service);
    [[nodiscard]] const Offer *offerOf(TargetIndex target, std::uint32_t service) const;
    [[nodiscard]] std::uint32_t rackIndex(const std::string &rack);
    void dropRunning(Target &target, std::size_t position);

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
