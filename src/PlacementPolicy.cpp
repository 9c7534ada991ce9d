#include "PlacementPolicy.h"

#include <algorithm>
#include <bit>
#include <random>

namespace Camphor {

namespace {

/// Targets that the owner policy compares. More do not improve the choice once each rack is
/// represented.
constexpr std::size_t MaxCandidates = 8;

/// Seeded source of random choices.
class Generator
{
public:
    explicit Generator(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(m_engine() % bound); }

private:
    std::mt19937_64 m_engine;
};

bool isAvoided(const PlacementRequest &request, TargetIndex target)
{
    return std::ranges::find(request.avoid, target) != request.avoid.end();
}

std::uint16_t countAt(std::span<const std::uint16_t> counts, std::uint32_t index)
{
    return index < counts.size() ? counts[index] : std::uint16_t{0};
}

/// Chooses the target with the most free slots, which the owner knows exactly. For a task of a job
/// it chooses the rack, and then the target, with the fewest tasks of that job, so that a faulty
/// rack or target affects as few of them as possible.
class OwnerPolicy : public PlacementPolicy
{
public:
    explicit OwnerPolicy(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    std::optional<TargetIndex> choose(const TargetRegistry &registry,
                                      const PlacementRequest &request) override
    {
        std::optional<TargetIndex> best;
        std::pair<std::uint16_t, std::uint16_t> bestLoad;
        std::size_t candidates = 0;
        auto rest = registry.nonEmptyClasses(request.service);
        while (rest != 0 && candidates < MaxCandidates) {
            const auto freeClass = static_cast<std::uint32_t>(std::bit_width(rest) - 1);
            rest &= ~(std::uint64_t{1} << freeClass);
            const auto &members = registry.classMembers(request.service, freeClass);
            const auto first = m_generator.below(members.size());
            for (std::size_t n = 0; n < members.size() && candidates < MaxCandidates; ++n) {
                const auto target = members[(first + n) % members.size()];
                if (isAvoided(request, target))
                    continue;
                if (!request.isJobTask)
                    return target;
                ++candidates;
                const std::pair load{countAt(request.racks, registry.rack(target)),
                                     countAt(request.targets, target)};
                if (!best || load < bestLoad) {
                    best = target;
                    bestLoad = load;
                }
            }
        }
        return best;
    }

private:
    Generator m_generator;
};

/// Chooses one target at random, and none if that target has no free slot.
class RandomPolicy : public PlacementPolicy
{
public:
    explicit RandomPolicy(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    std::optional<TargetIndex> choose(const TargetRegistry &registry,
                                      const PlacementRequest &request) override
    {
        const auto &members = registry.members(request.service);
        if (members.empty())
            return std::nullopt;
        const auto target = members[m_generator.below(members.size())];
        return registry.freeSlots(target, request.service) > 0 && !isAvoided(request, target)
            ? std::optional(target)
            : std::nullopt;
    }

private:
    Generator m_generator;
};

/// Chooses the next target in turn, and none if that target has no free slot.
class RoundRobinPolicy : public PlacementPolicy
{
public:
    std::optional<TargetIndex> choose(const TargetRegistry &registry,
                                      const PlacementRequest &request) override
    {
        const auto &members = registry.members(request.service);
        if (members.empty())
            return std::nullopt;
        const auto target = members[m_nextIndex++ % members.size()];
        return registry.freeSlots(target, request.service) > 0 && !isAvoided(request, target)
            ? std::optional(target)
            : std::nullopt;
    }

private:
    std::size_t m_nextIndex = 0;
};

/// Chooses the one of two random targets that has more free slots.
class ProbeTwoPolicy : public PlacementPolicy
{
public:
    explicit ProbeTwoPolicy(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    std::optional<TargetIndex> choose(const TargetRegistry &registry,
                                      const PlacementRequest &request) override
    {
        const auto &members = registry.members(request.service);
        if (members.empty())
            return std::nullopt;
        const auto one = members[m_generator.below(members.size())];
        const auto two = members[m_generator.below(members.size())];
        const auto freeOf = [&](TargetIndex it) {
            return isAvoided(request, it) ? 0 : registry.freeSlots(it, request.service);
        };
        const auto target = freeOf(one) >= freeOf(two) ? one : two;
        return freeOf(target) > 0 ? std::optional(target) : std::nullopt;
    }

private:
    Generator m_generator;
};

} // namespace

std::unique_ptr<PlacementPolicy> PlacementPolicy::make(PlacementKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PlacementKind::Owner:
        return std::make_unique<OwnerPolicy>(seed);
    case PlacementKind::Random:
        return std::make_unique<RandomPolicy>(seed);
    case PlacementKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>();
    case PlacementKind::ProbeTwo:
        return std::make_unique<ProbeTwoPolicy>(seed);
    }
    return nullptr;
}

} // namespace Camphor
