/// @file An append-only file of checksummed records, durable once append() returns.
#pragma once

#include "Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace Camphor {

/// The system calls that can fail because of the disk; tests replace them.
struct FileCalls
{
    std::function<ssize_t(int, const void *, std::size_t)> write;
    std::function<int(int)> sync;

    [[nodiscard]] static FileCalls system();
};

/// A log file. Each append writes one record with its own checksum (XXH3), so a crash during a
/// write damages only the last record.
class SyncedLog
{
public:
    /// The records of an opened file, and the log that continues it.
    struct Opened
    {
        std::unique_ptr<SyncedLog> log;
        std::vector<std::string> records;
        std::uint64_t truncatedBytes = 0; ///< Length of the removed incomplete record.
    };

    /// Opens or creates a file and reads its records. An incomplete last record is truncated. Any
    /// other damage is an error with file and offset: it would mean that records are missing which
    /// were synced and perhaps acknowledged.
    [[nodiscard]] static Result<Opened> open(const std::string &path,
                                             FileCalls calls = FileCalls::system());

    ~SyncedLog();
    SyncedLog(const SyncedLog &) = delete;
    SyncedLog &operator=(const SyncedLog &) = delete;

    /// Writes a record and syncs. After an error the log rejects all further records, because the
    /// content of the disk is unknown after a failed sync.
    Status append(std::string_view record);
    /// Replaces the whole file by one record; a crash leaves either the old or the new file.
    Status replace(std::string_view record);

    [[nodiscard]] std::uint64_t size() const { return m_size; }

private:
    SyncedLog(std::string path, FileCalls calls, int fd, std::uint64_t size);

    Status writeAndSync(int fd, std::uint64_t offset, std::string_view record);
    Status recordFailure(const std::string &what, int error);

    std::string m_path;
    FileCalls m_calls;
    int m_fd;
    std::uint64_t m_size;
    bool m_hasFailed = false;
};

/// Syncs a folder, which makes the creation, renaming or removal of a file in it durable.
[[nodiscard]] Status syncFolder(const std::string &folder, const FileCalls &calls);

} // namespace Camphor
