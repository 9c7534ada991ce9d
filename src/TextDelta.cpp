#include "TextDelta.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>

namespace Camphor {

namespace {

/// Matches are found by equal blocks of this many bytes. Smaller blocks find more matches and need
/// a larger index.
constexpr std::size_t BlockBytes = 64;

std::uint64_t hashOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

/// Finds the parts of a text that stand in the base text too.
class DeltaMaker
{
public:
    DeltaMaker(std::string_view base, std::string_view text)
        : m_base(base)
        , m_text(text)
    {
        for (std::size_t offset = 0; offset + BlockBytes <= base.size(); offset += BlockBytes)
            m_blocks.emplace(hashOf(base.substr(offset, BlockBytes)), offset);
    }

    [[nodiscard]] std::vector<DeltaStep> make()
    {
        m_steps.emplace_back();
        // Most changes leave the beginning as it is, which needs no index.
        copyFrom(0);
        while (m_position < m_text.size()) {
            if (!copyMatch())
                m_steps.back().appended.push_back(m_text[m_position++]);
        }
        return std::move(m_steps);
    }

private:
    /// Copies the longest common part of the text at the position and the base at the offset.
    void copyFrom(std::size_t offset)
    {
        const auto rest = m_text.substr(m_position);
        const auto source = m_base.substr(offset);
        const auto differs = std::ranges::mismatch(rest, source);
        const auto length = static_cast<std::size_t>(differs.in1 - rest.begin());
        if (m_steps.back().length > 0 || !m_steps.back().appended.empty())
            m_steps.emplace_back();
        m_steps.back().offset = offset;
        m_steps.back().length = length;
        m_position += length;
    }

    bool copyMatch()
    {
        if (m_position + BlockBytes > m_text.size())
            return false;
        const auto block = m_text.substr(m_position, BlockBytes);
        const auto it = m_blocks.find(hashOf(block));
        if (it == m_blocks.end() || m_base.substr(it->second, BlockBytes) != block)
            return false;
        copyFrom(it->second);
        return true;
    }

    std::string_view m_base;
    std::string_view m_text;
    std::unordered_map<std::uint64_t, std::size_t> m_blocks; ///< Offsets by the hash of the block.
    std::size_t m_position = 0;
    std::vector<DeltaStep> m_steps;
};

} // namespace

TextDelta makeDelta(std::string_view base, std::string_view text)
{
    return {DeltaMaker(base, text).make(), hashOf(text)};
}

Result<std::string> applyDelta(std::string_view base, const TextDelta &delta)
{
    const Error wrongBase{ErrorCode::Conflict, "the delta was made from another text"};
    std::string text;
    for (const auto &step : delta.steps) {
        if (step.offset > base.size() || step.length > base.size() - step.offset)
            return wrongBase;
        text += base.substr(step.offset, step.length);
        text += step.appended;
    }
    if (hashOf(text) != delta.textHash)
        return wrongBase;
    return text;
}

} // namespace Camphor
