/// @file Differences between two versions of a text, as instructions that build one from the other.
#pragma once

#include "Result.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// One instruction: copies a part of the base text, then appends further bytes.
struct DeltaStep
{
    std::uint64_t offset = 0; ///< In the base text, in bytes.
    std::uint64_t length = 0; ///< Bytes to copy; may be 0.
    std::string appended;

    auto operator<=>(const DeltaStep &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset, length, appended);
    }
};

/// Builds a text from a base text.
struct TextDelta
{
    std::vector<DeltaStep> steps;
    std::uint64_t textHash = 0; ///< Of the text that the steps build.

    auto operator<=>(const TextDelta &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(steps, textHash);
    }
};

[[nodiscard]] TextDelta makeDelta(std::string_view base, std::string_view text);

/// Builds the text. Fails if the base is not the one that the delta was made from.
[[nodiscard]] Result<std::string> applyDelta(std::string_view base, const TextDelta &delta);

} // namespace Camphor
