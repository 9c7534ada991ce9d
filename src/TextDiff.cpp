#include "TextDiff.h"

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace Camphor {

namespace {

/// Bound on the table of the longest common subsequence. Larger differing regions are shown as
/// removed and added in full.
constexpr std::size_t MaxTableCells = 16'000'000;

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

using Lines = std::vector<std::string>;

/// Appends the changes between two lists of lines, without their common prefix and suffix.
void diffMiddle(const Lines &from, const Lines &to, std::vector<DiffLine> &result)
{
    const auto rows = from.size() + 1;
    const auto columns = to.size() + 1;
    if (rows * columns > MaxTableCells) {
        for (const auto &line : from)
            result.push_back({'-', line});
        for (const auto &line : to)
            result.push_back({'+', line});
        return;
    }
    // Length of the longest common subsequence of the remaining lines.
    std::vector<std::uint32_t> table(rows * columns, 0);
    for (auto i = from.size(); i-- > 0;) {
        for (auto j = to.size(); j-- > 0;) {
            table[i * columns + j] = from[i] == to[j]
                ? table[(i + 1) * columns + j + 1] + 1
                : std::max(table[(i + 1) * columns + j], table[i * columns + j + 1]);
        }
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < from.size() || j < to.size()) {
        if (i < from.size() && j < to.size() && from[i] == to[j]) {
            result.push_back({' ', from[i++]});
            ++j;
        } else if (j == to.size()
                   || (i < from.size()
                       && table[(i + 1) * columns + j] >= table[i * columns + j + 1])) {
            result.push_back({'-', from[i++]});
        } else {
            result.push_back({'+', to[j++]});
        }
    }
}

} // namespace

std::vector<DiffLine> diffLines(const std::string &from, const std::string &to)
{
    auto a = splitLines(from);
    auto b = splitLines(to);
    std::vector<DiffLine> result;
    const auto prefix = std::ranges::mismatch(a, b).in1 - a.begin();
    result.reserve(a.size() + b.size());
    for (auto n = 0; n < prefix; ++n)
        result.push_back({' ', a[static_cast<std::size_t>(n)]});
    a.erase(a.begin(), a.begin() + prefix);
    b.erase(b.begin(), b.begin() + prefix);
    std::vector<DiffLine> suffix;
    while (!a.empty() && !b.empty() && a.back() == b.back()) {
        suffix.push_back({' ', a.back()});
        a.pop_back();
        b.pop_back();
    }
    diffMiddle(a, b, result);
    result.insert(result.end(), suffix.rbegin(), suffix.rend());
    return result;
}

std::string formatDiff(const std::vector<DiffLine> &lines, std::size_t context)
{
    std::string text;
    bool hasGap = false;
    for (std::size_t n = 0; n < lines.size(); ++n) {
        const auto first = n < context ? 0 : n - context;
        const auto last = std::min(lines.size(), n + context + 1);
        const bool isNearChange = std::any_of(lines.begin() + static_cast<long>(first),
                                              lines.begin() + static_cast<long>(last),
                                              [](const DiffLine &it) { return it.mark != ' '; });
        if (!isNearChange) {
            hasGap = !text.empty();
            continue;
        }
        text += (hasGap ? "...\n" : "") + (lines[n].mark + lines[n].text) + "\n";
        hasGap = false;
    }
    return text;
}

} // namespace Camphor
