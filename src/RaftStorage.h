/// @file Stores a member's vote, log and snapshot in one synced file of its data folder.
#pragma once

#include "RaftCore.h"
#include "SyncedLog.h"

#include <memory>
#include <string>

namespace Camphor {

/// The durable state of a member. Only one process at a time may use a data folder.
class RaftStorage
{
public:
    /// Opens a data folder; an empty folder gives an empty state.
    [[nodiscard]] static Result<std::unique_ptr<RaftStorage>>
    open(const std::string &folder, FileCalls calls = FileCalls::system());

    ~RaftStorage();
    RaftStorage(const RaftStorage &) = delete;
    RaftStorage &operator=(const RaftStorage &) = delete;

    /// The state that was found on opening.
    [[nodiscard]] const RaftDiskState &state() const { return m_state; }
    /// Moves the state out, to construct a RaftCore from it.
    RaftDiskState takeState() { return std::exchange(m_state, {}); }
    [[nodiscard]] bool isNew() const { return m_isNew; }
    [[nodiscard]] std::uint64_t truncatedBytes() const { return m_truncatedBytes; }
    [[nodiscard]] std::uint64_t fileBytes() const { return m_log->size(); }

    /// Writes and syncs what the actions require. @param core supplies the whole state if a
    /// received snapshot replaces it.
    Status persist(const RaftActions &actions, const RaftCore &core);
    /// Replaces the file by the state, after a compaction or for a new group.
    Status rewrite(const RaftDiskState &state);

private:
    RaftStorage() = default;

    Status readRecords(const std::vector<std::string> &records);
    Status readBatch(std::string_view bytes);

    std::string m_path;
    int m_lockFd = -1;
    std::unique_ptr<SyncedLog> m_log;
    RaftDiskState m_state;
    bool m_isNew = false;
    std::uint64_t m_truncatedBytes = 0;
};

} // namespace Camphor
