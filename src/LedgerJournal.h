/// @file The files of a ledger replica. `journal-N` holds records in write order; `snapshot-N`
/// holds the state to which journal-N and later journals are applied.
///
/// A file is a header of LedgerFileHeaderBytes followed by frames: payload length (4 bytes),
/// checksum of the length (4), XXH3 of the payload (8), payload. A payload is a batch of records,
/// each preceded by its length (4). A batch is written and synced before the next one is written,
/// so a crash can tear only the last frame.
#pragma once

#include "LedgerLog.h"
#include "LedgerMessages.h"
#include "SyncedFile.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Camphor {

inline constexpr std::size_t LedgerFileHeaderBytes = 16;
inline constexpr std::size_t LedgerFrameHeaderBytes = 16;
/// Maximum payload of a frame; a greater length means that the file is damaged.
inline constexpr std::size_t MaxLedgerFrameBytes = std::size_t{256} * 1024 * 1024;

/// The kind of a file, as stored in its header.
enum class LedgerFileKind : std::uint32_t { Journal = 1, Snapshot = 2 };

/// The header of a file.
[[nodiscard]] std::string encodeLedgerFileHeader(LedgerFileKind kind);
/// One batch of records as a frame.
[[nodiscard]] std::string encodeLedgerFrame(std::span<const LedgerRecord> records);

/// How reading a file ended.
struct LedgerFileEnd
{
    std::uint64_t validBytes = 0; ///< Bytes up to the end of the last complete frame.
    bool isTorn = false; ///< The bytes after that may be the rest of an interrupted write.

    auto operator<=>(const LedgerFileEnd &) const = default;
};

/// Reads a file and passes each record to a function. Damage other than a torn tail, or an error of
/// the function, gives an error with file name and offset.
[[nodiscard]] Result<LedgerFileEnd>
readLedgerFile(SyncedFolder &folder, const std::string &name, LedgerFileKind kind,
               const std::function<Status(LedgerRecord)> &onRecord);

/// The journal that is being written. Its calls block; only one thread at a time may use it.
class LedgerJournal
{
public:
    /// Recovers the log of a replica and opens its journal. The folder must not be used for
    /// anything else.
    [[nodiscard]] static Result<std::unique_ptr<LedgerJournal>>
    open(std::shared_ptr<SyncedFolder> folder, const RetentionDeclaration &retention,
         LedgerLog &log);

    /// Writes and syncs a batch. After an error the journal must not be used any more.
    [[nodiscard]] Status write(const std::vector<LedgerRecord> &records);
    /// Starts a new file with the given records, before a snapshot is taken.
    [[nodiscard]] Status rotate(const std::vector<LedgerRecord> &records);

    [[nodiscard]] std::uint64_t number() const { return m_number; }
    /// Total size of the journal files that open() read, and of what was written since. rotate()
    /// restarts the count with the new file.
    [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }
    [[nodiscard]] std::uint64_t syncs() const { return m_syncs; }

private:
    explicit LedgerJournal(std::shared_ptr<SyncedFolder> folder)
        : m_folder(std::move(folder))
    {
    }

    [[nodiscard]] Status start(std::uint64_t number);

    std::shared_ptr<SyncedFolder> m_folder;
    std::unique_ptr<SyncedFile> m_file;
    std::uint64_t m_number = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_syncs = 0;
};

/// A snapshot that is written while the ledger continues to serve calls.
class LedgerSnapshot
{
public:
    /// @param number of the journal file that was started for this snapshot.
    [[nodiscard]] static Result<std::unique_ptr<LedgerSnapshot>>
    begin(std::shared_ptr<SyncedFolder> folder, std::uint64_t number);

    [[nodiscard]] Status write(const LedgerRecord &record);
    /// Puts the snapshot into effect and removes the files that it replaces. All entries whose
    /// effects it may contain must have been synced to the journal before.
    [[nodiscard]] Status finish();

private:
    LedgerSnapshot(std::shared_ptr<SyncedFolder> folder, std::unique_ptr<SyncedFile> file,
                   std::uint64_t number)
        : m_folder(std::move(folder))
        , m_file(std::move(file))
        , m_number(number)
    {
    }

    std::shared_ptr<SyncedFolder> m_folder;
    std::unique_ptr<SyncedFile> m_file;
    std::uint64_t m_number;
};

} // namespace Camphor
