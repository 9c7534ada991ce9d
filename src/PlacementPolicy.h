/// @file Policies that choose a target for a task.
#pragma once

#include "Dispatcher.h"
#include "TargetRegistry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Camphor {

/// The properties of a task that a policy considers.
struct PlacementRequest
{
    std::uint32_t service = 0;
    std::span<const TargetIndex> avoid; ///< Targets that must not be chosen.
    /// Number of tasks of the same job on each rack and each target, by index; empty for a single
    /// request.
    std::span<const std::uint16_t> racks;
    std::span<const std::uint16_t> targets;
    bool isJobTask = false;
};

/// Chooses among the targets of a registry. A policy may return none although a slot is free.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    [[nodiscard]] virtual std::optional<TargetIndex> choose(const TargetRegistry &registry,
                                                            const PlacementRequest &request) = 0;

    /// @param seed of the random choices, which are reproducible.
    [[nodiscard]] static std::unique_ptr<PlacementPolicy> make(PlacementKind kind,
                                                               std::uint64_t seed);
};

} // namespace Camphor
