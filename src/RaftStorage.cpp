#include "RaftStorage.h"

#include "Wire.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace Camphor {

namespace {

constexpr char StateRecord = 'S';
constexpr char BatchRecord = 'B';

/// The record that one sync appends.
struct Batch
{
    bool hasVote = false;
    RaftVote vote;
    std::uint64_t truncateFrom = 0;
    std::vector<RaftEntry> entries;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(hasVote, vote, truncateFrom, entries);
    }
};

struct StoredState
{
    RaftVote vote;
    RaftSnapshot snapshot;
    std::vector<RaftEntry> entries;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(vote, snapshot, entries);
    }
};

} // namespace

Result<std::unique_ptr<RaftStorage>> RaftStorage::open(const std::string &folder, FileCalls calls)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    std::unique_ptr<RaftStorage> storage(new RaftStorage);
    storage->m_path = folder + "/control.log";
    storage->m_lockFd = ::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (storage->m_lockFd < 0) {
        return Error{ErrorCode::Storage,
                     folder
                         + ": cannot open the lock file: " + std::generic_category().message(errno)
                         + ". Fix: check dataFolder and its permissions"};
    }
    if (::flock(storage->m_lockFd, LOCK_EX | LOCK_NB) != 0) {
        return Error{
            ErrorCode::Storage,
            folder
                + ": another process holds the lock of this data folder. Fix: stop it, or give "
                  "each instance its own dataFolder"};
    }
    auto result = SyncedLog::open(storage->m_path, std::move(calls));
    if (!result)
        return result.error();
    auto opened = std::move(result).value();
    storage->m_log = std::move(opened.log);
    storage->m_truncatedBytes = opened.truncatedBytes;
    storage->m_isNew = opened.records.empty();
    if (const auto status = storage->readRecords(opened.records); !status)
        return status.error();
    return storage;
}

RaftStorage::~RaftStorage()
{
    if (m_lockFd >= 0)
        ::close(m_lockFd);
}

Status RaftStorage::readRecords(const std::vector<std::string> &records)
{
    std::size_t number = 0;
    for (const auto &record : records) {
        ++number;
        const std::string_view body = std::string_view(record).substr(1);
        Status status = Error{ErrorCode::Storage, "unknown record type"};
        if (record.empty()) {
            status = Error{ErrorCode::Storage, "empty record"};
        } else if (record.front() == BatchRecord) {
            status = readBatch(body);
        } else if (record.front() == StateRecord) {
            auto state = decodeMessage<StoredState>(body);
            if (state) {
                auto value = std::move(state).value();
                m_state = {std::move(value.vote), std::move(value.snapshot),
                           std::move(value.entries)};
                status = okStatus();
            } else {
                status = state.error();
            }
        }
        if (!status) {
            return Error{
                ErrorCode::Storage,
                m_path + ": record " + std::to_string(number) + ": " + status.error().message
                    + ". Fix: run the version that wrote the file, or replace the instance"};
        }
    }
    return okStatus();
}

Status RaftStorage::readBatch(std::string_view bytes)
{
    auto decoded = decodeMessage<Batch>(bytes);
    if (!decoded)
        return decoded.error();
    auto batch = std::move(decoded).value();
    if (batch.hasVote)
        m_state.vote = std::move(batch.vote);
    if (batch.truncateFrom != 0) {
        std::erase_if(m_state.entries,
                      [&](const RaftEntry &it) { return it.index >= batch.truncateFrom; });
    }
    for (auto &entry : batch.entries) {
        const auto last =
            m_state.entries.empty() ? m_state.snapshot.index : m_state.entries.back().index;
        if (entry.index != last + 1)
            return Error{ErrorCode::Storage,
                         "entry " + std::to_string(entry.index)
                             + " does not directly "
                               "follow the previous entry"};
        m_state.entries.push_back(std::move(entry));
    }
    return okStatus();
}

Status RaftStorage::persist(const RaftActions &actions, const RaftCore &core)
{
    if (!actions.needsSync())
        return okStatus();
    if (actions.snapshot)
        return rewrite(core.diskState());
    Batch batch;
    batch.hasVote = actions.vote.has_value();
    batch.vote = actions.vote.value_or(RaftVote{});
    batch.truncateFrom = actions.truncateFrom;
    batch.entries = actions.append;
    return m_log->append(BatchRecord + encodeMessage(batch));
}

Status RaftStorage::rewrite(const RaftDiskState &state)
{
    return m_log->replace(StateRecord
                          + encodeMessage(StoredState{state.vote, state.snapshot, state.entries}));
}

} // namespace Camphor
