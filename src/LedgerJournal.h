/// @file The files of a ledger replica. `journal-N` holds records in the order of their writing;
/// `snapshot-N` holds the state from which journal-N and later ones go on.
///
/// A file is a header of LedgerFileHeaderBytes and then frames: payload length (4 bytes), check of
/// the length (4), XXH3 of the payload (8), payload. A payload is a batch of records, each after
/// its length (4). One batch is written and synced before the next one is written, so a crash can
/// tear only the last frame.
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
/// Longest payload of a frame; a greater length is damage.
inline constexpr std::size_t MaxLedgerFrameBytes = std::size_t{256} * 1024 * 1024;

/// What the file is for. Part of the file header.
enum class LedgerFileKind : std::uint32_t { Journal = 1, Snapshot = 2 };

/// The first bytes of a file.
[[nodiscard]] std::string encodeLedgerFileHeader(LedgerFileKind kind);
/// One batch as a frame.
[[nodiscard]] std::string encodeLedgerFrame(std::span<const LedgerRecord> records);

/// How the reading of a file ended.
struct LedgerFileEnd
{
    std::uint64_t wholeBytes = 0; ///< Up to the end of the last whole frame.
    bool isTorn = false; ///< Bytes follow that can be the rest of an unfinished write.

    auto operator<=>(const LedgerFileEnd &) const = default;
};

/// Reads a file and hands each record to a function. Damage other than a torn tail, or an error of
/// the function, is an error that names file and offset.
[[nodiscard]] Result<LedgerFileEnd>
readLedgerFile(SyncedFolder &folder, const std::string &name, LedgerFileKind kind,
               const std::function<Status(LedgerRecord)> &onRecord);

/// The journal that is being written. Its calls block; one thread at a time may use it.
class LedgerJournal
{
public:
    /// Recovers the log of a replica and opens its journal. The folder must not hold other files.
    [[nodiscard]] static Result<std::unique_ptr<LedgerJournal>>
    open(std::shared_ptr<SyncedFolder> folder, const RetentionDeclaration &retention,
         LedgerLog &log);

    /// Writes a batch and syncs it. After an error the journal must not be used any more.
    [[nodiscard]] Status write(const std::vector<LedgerRecord> &records);
    /// Starts a new file with the given records, for a snapshot that is about to be taken.
    [[nodiscard]] Status rotate(const std::vector<LedgerRecord> &records);

    [[nodiscard]] std::uint64_t number() const { return m_number; }
    /// Bytes in all journal files that a restart would read.
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

/// A snapshot that is being written while the ledger goes on.
class LedgerSnapshot
{
public:
    /// @param number of the journal file that was started for it.
    [[nodiscard]] static Result<std::unique_ptr<LedgerSnapshot>>
    begin(std::shared_ptr<SyncedFolder> folder, std::uint64_t number);

    [[nodiscard]] Status write(const LedgerRecord &record);
    /// Makes the snapshot count and removes the files that it replaces. Everything whose effect
    /// may be in the snapshot must have been synced to the journal before.
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
