#include "LedgerJournal.h"

#include "Wire.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>
#include <span>
#include <utility>

namespace Camphor {

namespace {

constexpr std::string_view FileMagic = "CSLEDGER";
constexpr std::uint32_t FileVersion = 1;
/// Maximum size of one batch, unless a single record is larger.
constexpr std::size_t MaxBatchBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t ReadChunkBytes = std::size_t{4} * 1024 * 1024;
constexpr std::string_view JournalPrefix = "journal-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view TemporarySuffix = ".tmp";

template <typename T>
void append(std::string &bytes, T value)
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof(value));
}

template <typename T>
T readAt(std::string_view bytes, std::size_t offset)
{
    T value{};
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    return value;
}

std::size_t sizeOf(const LedgerRecord &record)
{
    std::size_t bytes = sizeof(LedgerRecord) + record.entry.response.size();
    for (const auto &claim : record.claims)
        bytes += sizeof(ClaimImage) + claim.response.size();
    return bytes;
}

std::uint32_t lengthChecksum(std::uint32_t length)
{
    return static_cast<std::uint32_t>(XXH3_64bits(&length, sizeof(length)));
}

std::optional<std::uint64_t> parseFileNumber(const std::string &name, std::string_view prefix)
{
    if (!name.starts_with(prefix))
        return std::nullopt;
    std::uint64_t number = 0;
    const auto *end = name.data() + name.size();
    const auto [rest, ec] = std::from_chars(name.data() + prefix.size(), end, number);
    return ec == std::errc() && rest == end ? std::optional(number) : std::nullopt;
}

std::string fileName(std::string_view prefix, std::uint64_t number)
{
    return std::string(prefix) + std::to_string(number);
}

Error damageError(const std::string &name, std::uint64_t offset, const std::string &reason)
{
    return Error{ErrorCode::Storage,
                 "ledger file " + name + " is damaged at offset " + std::to_string(offset) + ": "
                     + reason
                     + ". Fix: move the data folder away and restart; the replica then catches up "
                       "from the other replicas"};
}

/// Reads a file in chunks and gives access to any range of it.
class ChunkedReader
{
public:
    ChunkedReader(SyncedFolder &folder, const std::string &name)
        : m_folder(folder)
        , m_name(name)
    {
    }

    /// Returns the bytes at the offset; fewer than requested only at the end of the file.
    Result<std::string_view> at(std::uint64_t offset, std::size_t size)
    {
        if (offset < m_start || offset + size > m_start + m_chunk.size()) {
            auto chunk = m_folder.read(m_name, offset, std::max(size, ReadChunkBytes));
            if (!chunk)
                return chunk.error();
            m_chunk = std::move(chunk).value();
            m_start = offset;
        }
        return std::string_view(m_chunk).substr(offset - m_start, size);
    }

private:
    SyncedFolder &m_folder;
    const std::string &m_name;
    std::string m_chunk;
    std::uint64_t m_start = 0;
};

Status readBatch(std::string_view payload, const std::function<Status(LedgerRecord)> &onRecord)
{
    while (!payload.empty()) {
        if (payload.size() < sizeof(std::uint32_t))
            return Error{ErrorCode::Storage, "record length is truncated"};
        const auto size = readAt<std::uint32_t>(payload, 0);
        payload.remove_prefix(sizeof(std::uint32_t));
        if (size > payload.size())
            return Error{ErrorCode::Storage, "record exceeds its batch"};
        auto record = decodeMessage<LedgerRecord>(payload.substr(0, size));
        if (!record)
            return record.error();
        if (auto status = onRecord(std::move(record).value()); !status)
            return status;
        payload.remove_prefix(size);
    }
    return okStatus();
}

/// Classifies the rest of a file after the last complete frame as a torn tail or as damage.
Result<LedgerFileEnd> classifyTail(ChunkedReader &reader, const std::string &name,
                                   std::uint64_t offset, const std::string &reason)
{
    // After a crash the file may have grown without being written, which reads as zeros.
    for (auto n = offset;; n += ReadChunkBytes) {
        const auto bytes = reader.at(n, ReadChunkBytes);
        if (!bytes)
            return bytes.error();
        if (std::ranges::any_of(bytes.value(), [](char c) { return c != 0; }))
            return damageError(name, offset, reason);
        if (bytes.value().size() < ReadChunkBytes)
            return LedgerFileEnd{offset, true};
    }
}

} // namespace

std::string encodeLedgerFileHeader(LedgerFileKind kind)
{
    std::string bytes(FileMagic);
    append(bytes, FileVersion);
    append(bytes, static_cast<std::uint32_t>(kind));
    return bytes;
}

std::string encodeLedgerFrame(std::span<const LedgerRecord> records)
{
    std::string payload;
    for (const auto &record : records) {
        const auto bytes = encodeMessage(record);
        append(payload, static_cast<std::uint32_t>(bytes.size()));
        payload += bytes;
    }
    std::string frame;
    frame.reserve(LedgerFrameHeaderBytes + payload.size());
    const auto length = static_cast<std::uint32_t>(payload.size());
    append(frame, length);
    append(frame, lengthChecksum(length));
    append(frame, static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size())));
    frame += payload;
    return frame;
}

Result<LedgerFileEnd> readLedgerFile(SyncedFolder &folder, const std::string &name,
                                     LedgerFileKind kind,
                                     const std::function<Status(LedgerRecord)> &onRecord)
{
    ChunkedReader reader(folder, name);
    const auto header = reader.at(0, LedgerFileHeaderBytes);
    if (!header)
        return header.error();
    const auto expected = encodeLedgerFileHeader(kind);
    if (header.value().size() < LedgerFileHeaderBytes && expected.starts_with(header.value()))
        return LedgerFileEnd{0, true};
    if (header.value() != expected)
        return damageError(name, 0, "file header has a wrong magic number, version or kind");
    std::uint64_t offset = LedgerFileHeaderBytes;
    while (true) {
        const auto head = reader.at(offset, LedgerFrameHeaderBytes);
        if (!head)
            return head.error();
        if (head.value().empty())
            return LedgerFileEnd{offset, false};
        if (head.value().size() < LedgerFrameHeaderBytes)
            return LedgerFileEnd{offset, true};
        const auto length = readAt<std::uint32_t>(head.value(), 0);
        const auto hash = readAt<std::uint64_t>(head.value(), 8);
        if (readAt<std::uint32_t>(head.value(), 4) != lengthChecksum(length)
            || length > MaxLedgerFrameBytes) {
            return classifyTail(reader, name, offset, "frame length does not match its checksum");
        }
        const auto payload = reader.at(offset + LedgerFrameHeaderBytes, length);
        if (!payload)
            return payload.error();
        const auto end = offset + LedgerFrameHeaderBytes + length;
        if (payload.value().size() < length)
            return LedgerFileEnd{offset, true};
        if (XXH3_64bits(payload.value().data(), length) != hash) {
            const auto next = reader.at(end, 1);
            if (!next)
                return next.error();
            if (next.value().empty())
                return LedgerFileEnd{offset, true};
            return damageError(name, offset, "frame payload does not match its checksum");
        }
        if (const auto status = readBatch(payload.value(), onRecord); !status)
            return damageError(name, offset, status.error().message);
        offset = end;
    }
}

Result<std::unique_ptr<LedgerJournal>> LedgerJournal::open(std::shared_ptr<SyncedFolder> folder,
                                                           const RetentionDeclaration &retention,
                                                           LedgerLog &log)
{
    log = LedgerLog(retention);
    const auto names = folder->list();
    if (!names)
        return names.error();
    std::vector<std::uint64_t> journals;
    std::optional<std::uint64_t> snapshot;
    for (const auto &name : names.value()) {
        if (const auto number = parseFileNumber(name, JournalPrefix)) {
            journals.push_back(*number);
        } else if (const auto snapshotNumber = parseFileNumber(name, SnapshotPrefix)) {
            snapshot = std::max(snapshot.value_or(0), *snapshotNumber);
        } else if (name.ends_with(TemporarySuffix)) {
            // A snapshot interrupted by a crash; the journals still contain its records.
            if (const auto status = folder->remove(name); !status)
                return status.error();
        }
    }
    std::ranges::sort(journals);
    const auto replay = [&](LedgerRecord record) { return log.replay(std::move(record)); };
    if (snapshot) {
        const auto name = fileName(SnapshotPrefix, *snapshot);
        const auto end = readLedgerFile(*folder, name, LedgerFileKind::Snapshot, replay);
        if (!end)
            return end.error();
        if (end.value().isTorn || !log.isComplete())
            return damageError(name, end.value().validBytes, "snapshot is incomplete");
        std::erase_if(journals, [&](std::uint64_t number) { return number < *snapshot; });
    }
    auto journal = std::unique_ptr<LedgerJournal>(new LedgerJournal(std::move(folder)));
    auto expected = snapshot.value_or(journals.empty() ? 1 : journals.front());
    for (const auto number : journals) {
        const auto name = fileName(JournalPrefix, number);
        if (number != expected++)
            return damageError(name, 0, "the preceding journal file is missing");
        const auto end = readLedgerFile(*journal->m_folder, name, LedgerFileKind::Journal, replay);
        if (!end)
            return end.error();
        if (end.value().isTorn) {
            if (number != journals.back())
                return damageError(name, end.value().validBytes,
                                   "the file ends in the middle of a frame");
            const auto status = journal->m_folder->truncate(name, end.value().validBytes);
            if (!status)
                return status.error();
        }
        journal->m_bytes += end.value().validBytes;
        journal->m_number = number;
    }
    if (snapshot && journals.empty()) {
        return damageError(fileName(JournalPrefix, *snapshot), 0,
                           "the journal file of the snapshot is missing");
    }
    if (const auto status = journal->start(std::max<std::uint64_t>(journal->m_number, 1)); !status)
        return status.error();
    return journal;
}

Status LedgerJournal::start(std::uint64_t number)
{
    const auto name = fileName(JournalPrefix, number);
    auto file = m_folder->append(name);
    if (!file)
        return file.error();
    m_file = std::move(file).value();
    m_number = number;
    const auto head = m_folder->read(name, 0, 1);
    if (!head)
        return head.error();
    if (head.value().empty()) {
        if (auto status = m_file->append(encodeLedgerFileHeader(LedgerFileKind::Journal)); !status)
            return status;
        m_bytes += LedgerFileHeaderBytes;
    }
    // An earlier process may have written records that it could not sync.
    ++m_syncs;
    return m_file->sync();
}

Status LedgerJournal::write(const std::vector<LedgerRecord> &records)
{
    // Long responses can add up to more than one frame holds. Each part is synced before the next
    // one is written, so that still only the last frame can be torn.
    for (auto begin = records.begin(); begin != records.end();) {
        std::size_t bytes = 0;
        const auto end = std::find_if(begin, records.end(), [&](const LedgerRecord &record) {
            bytes += sizeOf(record);
            return bytes > MaxBatchBytes && &record != &*begin;
        });
        const auto frame = encodeLedgerFrame({begin, end});
        if (auto status = m_file->append(frame); !status)
            return status;
        if (auto status = m_file->sync(); !status)
            return status;
        ++m_syncs;
        m_bytes += frame.size();
        begin = end;
    }
    return okStatus();
}

Status LedgerJournal::rotate(const std::vector<LedgerRecord> &records)
{
    m_bytes = 0;
    if (auto status = start(m_number + 1); !status)
        return status;
    return records.empty() ? okStatus() : write(records);
}

Result<std::unique_ptr<LedgerSnapshot>> LedgerSnapshot::begin(std::shared_ptr<SyncedFolder> folder,
                                                              std::uint64_t number)
{
    const auto name = fileName(SnapshotPrefix, number) + std::string(TemporarySuffix);
    auto file = folder->append(name);
    if (!file)
        return file.error();
    auto snapshot = std::unique_ptr<LedgerSnapshot>(
        new LedgerSnapshot(std::move(folder), std::move(file).value(), number));
    const auto status = snapshot->m_file->append(encodeLedgerFileHeader(LedgerFileKind::Snapshot));
    if (!status)
        return status.error();
    return snapshot;
}

Status LedgerSnapshot::write(const LedgerRecord &record)
{
    return m_file->append(encodeLedgerFrame({&record, 1}));
}

Status LedgerSnapshot::finish()
{
    if (auto status = m_file->sync(); !status)
        return status;
    const auto name = fileName(SnapshotPrefix, m_number);
    if (auto status = m_folder->rename(name + std::string(TemporarySuffix), name); !status)
        return status;
    const auto names = m_folder->list();
    if (!names)
        return names.error();
    // Files are removed in the order of their numbers, so that a crash in between leaves no gap.
    std::vector<std::pair<std::uint64_t, std::string>> obsolete;
    for (const auto &it : names.value()) {
        const auto journal = parseFileNumber(it, JournalPrefix);
        const auto number = journal ? journal : parseFileNumber(it, SnapshotPrefix);
        if (number && *number < m_number)
            obsolete.emplace_back(*number, it);
    }
    std::ranges::sort(obsolete);
    for (const auto &[number, file] : obsolete) {
        if (auto status = m_folder->remove(file); !status)
            return status;
    }
    return okStatus();
}

} // namespace Camphor
