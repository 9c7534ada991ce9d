/// @file Line differences of two texts.
#pragma once

#include <string>
#include <vector>

namespace Camphor {

/// A line of the result: kept (' '), removed ('-') or added ('+').
struct DiffLine
{
    char mark = ' ';
    std::string text;

    auto operator<=>(const DiffLine &) const = default;
};

/// A shortest list of changes from one text to another, with all kept lines.
[[nodiscard]] std::vector<DiffLine> diffLines(const std::string &from, const std::string &to);

/// Only the changes and `context` kept lines around each, one line each with its mark.
[[nodiscard]] std::string formatDiff(const std::vector<DiffLine> &lines, std::size_t context);

} // namespace Camphor
