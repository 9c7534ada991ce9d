/// @file The recent versions of the configuration, for entries that hold one of them.
#pragma once

#include "FleetProtocol.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Camphor {

/// Retains the newest documents and replies with the difference to the one that an entry holds, so
/// that a change of a large configuration costs each entry little. Performs no I/O.
class DocumentHistory
{
public:
    /// Adds a document if its version is higher than that of the newest one.
    void add(std::uint64_t version, const std::string &content);
    /// The reply that brings an entry from the version that it holds to the newest one.
    [[nodiscard]] FetchDocumentReply replyTo(const FetchDocumentRequest &request);

private:
    struct Document
    {
        std::uint64_t version = 0;
        std::string content;
    };

    std::deque<Document> m_documents; ///< Oldest first.
    /// Replies made for the newest document, by the version held.
    std::map<std::uint64_t, FetchDocumentReply> m_replies;
};

} // namespace Camphor
