#include "DocumentHistory.h"

#include <algorithm>

namespace Camphor {

namespace {

/// Retained documents. Entries that hold an older one receive the whole content.
constexpr std::size_t MaxDocuments = 5;

std::size_t bytesOf(const TextDelta &delta)
{
    constexpr std::size_t StepBytes = sizeof(DeltaStep::offset) + sizeof(DeltaStep::length);
    std::size_t bytes = 0;
    for (const auto &step : delta.steps)
        bytes += StepBytes + step.appended.size();
    return bytes;
}

} // namespace

void DocumentHistory::add(std::uint64_t version, const std::string &content)
{
    if (!m_documents.empty() && version <= m_documents.back().version)
        return;
    m_documents.push_back({version, content});
    m_replies.clear();
    if (m_documents.size() > MaxDocuments)
        m_documents.pop_front();
}

FetchDocumentReply DocumentHistory::replyTo(const FetchDocumentRequest &request)
{
    if (m_documents.empty() || request.heldVersion >= m_documents.back().version)
        return {};
    const auto &newest = m_documents.back();
    const auto held = std::ranges::find(m_documents, request.heldVersion, &Document::version);
    const auto baseVersion = held == m_documents.end() ? 0 : held->version;
    const auto [it, isNew] = m_replies.try_emplace(baseVersion);
    auto &reply = it->second;
    if (!isNew)
        return reply;
    reply.version = newest.version;
    if (held != m_documents.end()) {
        reply.baseVersion = baseVersion;
        reply.delta = makeDelta(held->content, newest.content);
    }
    if (held == m_documents.end() || bytesOf(reply.delta) >= newest.content.size()) {
        reply.baseVersion = 0;
        reply.delta = {};
        reply.content = newest.content;
    }
    return reply;
}

} // namespace Camphor
