/// @file Line differences of two texts.
#pragma once

#include <string>
#include <vector>

namespace Camphor {

/// A line of the result: unchanged (' '), removed ('-') or added ('+').
struct DiffLine
{
    char mark = ' ';
    std::string text;

    auto operator<=>(const DiffLine &) const = default;
};

/// Computes a shortest edit script from one text to another, including all unchanged lines.
[[nodiscard]] std::vector<DiffLine> diffLines(const std::string &from, const std::string &to);

/// Formats the changes with up to `context` unchanged lines around each, one line of output for
/// each line with its mark.
[[nodiscard]] std::string formatDiff(const std::vector<DiffLine> &lines, std::size_t context);

} // namespace Camphor
