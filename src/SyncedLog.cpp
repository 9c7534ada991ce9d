#include "SyncedLog.h"

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace Camphor {

namespace {

/// "CSL1" in little-endian byte order.
constexpr std::uint32_t RecordMagic = 0x314c5343;
constexpr std::size_t HeaderBytes = 32;
/// File systems write whole sectors; a sector that never reached the disk reads as zeros.
constexpr std::size_t SectorBytes = 512;

struct RecordHeader
{
    std::uint32_t magic = RecordMagic;
    std::uint32_t length = 0;
    std::uint64_t offset = 0; ///< Offset of this header in the file; a record at another offset is
                              ///< damaged.
    std::uint64_t payloadHash = 0;
    std::uint64_t headerHash = 0; ///< Hash of the fields above.
};
static_assert(sizeof(RecordHeader) == HeaderBytes);

std::uint64_t hashOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string_view hashedPart(const RecordHeader &header)
{
    return {reinterpret_cast<const char *>(&header), offsetof(RecordHeader, headerHash)};
}

std::optional<RecordHeader> readHeader(std::string_view file, std::size_t offset)
{
    if (file.size() - offset < HeaderBytes)
        return std::nullopt;
    RecordHeader header;
    std::memcpy(&header, file.data() + offset, HeaderBytes);
    if (header.magic != RecordMagic || header.offset != offset
        || header.headerHash != hashOf(hashedPart(header)))
        return std::nullopt;
    return header;
}

bool isZero(std::string_view bytes)
{
    return bytes.find_first_not_of('\0') == std::string_view::npos;
}

/// Whether any sector from begin to the end of the file, including a partial first or last one,
/// reads as zeros.
bool hasUnwrittenSector(std::string_view file, std::size_t begin)
{
    while (begin < file.size()) {
        const auto end = std::min(file.size(), (begin / SectorBytes + 1) * SectorBytes);
        if (isZero(file.substr(begin, end - begin)))
            return true;
        begin = end;
    }
    return false;
}

/// Whether the damage at the offset is what a crash during the last write leaves behind.
bool isTornTail(std::string_view file, std::size_t offset)
{
    const auto header = readHeader(file, offset);
    if (!header)
        return file.size() - offset < HeaderBytes || isZero(file.substr(offset, HeaderBytes));
    const auto end = offset + HeaderBytes + header->length;
    if (end > file.size())
        return true;
    // A complete last record with a wrong checksum but no unwritten sector was changed after it was
    // written, so it may have been acknowledged.
    return end == file.size() && hasUnwrittenSector(file, offset + HeaderBytes);
}

bool hasValidHeaderAfter(std::string_view file, std::size_t offset)
{
    for (auto n = offset + 1; n + HeaderBytes <= file.size(); ++n) {
        if (readHeader(file, n))
            return true;
    }
    return false;
}

std::string errorText(int error) { return std::generic_category().message(error); }

} // namespace

FileCalls FileCalls::system()
{
    return {[](int fd, const void *data, std::size_t size) { return ::write(fd, data, size); },
            [](int fd) { return ::fsync(fd); }};
}

Status syncFolder(const std::string &folder, const FileCalls &calls)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool isSynced = fd >= 0 && calls.sync(fd) == 0;
    const int error = errno;
    if (fd >= 0)
        ::close(fd);
    if (!isSynced)
        return Error{ErrorCode::Storage, folder + ": sync failed: " + errorText(error)};
    return okStatus();
}

SyncedLog::SyncedLog(std::string path, FileCalls calls, int fd, std::uint64_t size)
    : m_path(std::move(path))
    , m_calls(std::move(calls))
    , m_fd(fd)
    , m_size(size)
{
}

SyncedLog::~SyncedLog() { ::close(m_fd); }

Result<SyncedLog::Opened> SyncedLog::open(const std::string &path, FileCalls calls)
{
    const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd < 0) {
        return Error{ErrorCode::Storage,
                     path + ": cannot be opened: " + errorText(errno)
                         + ". Fix: check the data folder and its permissions"};
    }
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    const std::string file = std::move(text).str();
    Opened opened;
    opened.log.reset(new SyncedLog(path, std::move(calls), fd, 0));
    std::size_t offset = 0;
    while (offset < file.size()) {
        const auto header = readHeader(file, offset);
        const auto payload = offset + HeaderBytes;
        if (!header || header->length > file.size() - payload
            || hashOf({file.data() + payload, header->length}) != header->payloadHash) {
            if (isTornTail(file, offset) && !hasValidHeaderAfter(file, offset))
                break;
            return Error{ErrorCode::Storage,
                         path + ": damaged record at offset " + std::to_string(offset)
                             + ". Fix: replace this instance by one with a new name and an empty "
                               "data folder, as docs/operating.md describes"};
        }
        opened.records.push_back(file.substr(payload, header->length));
        offset = payload + header->length;
    }
    opened.truncatedBytes = file.size() - offset;
    opened.log->m_size = offset;
    if (opened.truncatedBytes > 0
        && (::ftruncate(fd, static_cast<off_t>(offset)) != 0 || opened.log->m_calls.sync(fd) != 0))
        return opened.log->recordFailure("truncating the incomplete record", errno).error();
    const auto folder = std::filesystem::path(path).parent_path().string();
    if (const auto status = syncFolder(folder, opened.log->m_calls); !status)
        return status.error();
    return opened;
}

Status SyncedLog::recordFailure(const std::string &what, int error)
{
    m_hasFailed = true;
    return Error{ErrorCode::Storage, m_path + ": " + what + " failed: " + errorText(error)};
}

Status SyncedLog::writeAndSync(int fd, std::uint64_t offset, std::string_view record)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(record.size());
    header.offset = offset;
    header.payloadHash = hashOf(record);
    header.headerHash = hashOf(hashedPart(header));
    std::string bytes(reinterpret_cast<const char *>(&header), HeaderBytes);
    bytes += record;
    for (std::size_t written = 0; written < bytes.size();) {
        const auto n = m_calls.write(fd, bytes.data() + written, bytes.size() - written);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return recordFailure("write", n < 0 ? errno : ENOSPC);
        written += static_cast<std::size_t>(n);
    }
    if (m_calls.sync(fd) != 0)
        return recordFailure("sync", errno);
    return okStatus();
}

Status SyncedLog::append(std::string_view record)
{
    if (m_hasFailed)
        return Error{ErrorCode::Storage, m_path + ": an earlier write or sync failed"};
    auto status = writeAndSync(m_fd, m_size, record);
    if (status)
        m_size += HeaderBytes + record.size();
    return status;
}

Status SyncedLog::replace(std::string_view record)
{
    if (m_hasFailed)
        return Error{ErrorCode::Storage, m_path + ": an earlier write or sync failed"};
    const auto newPath = m_path + ".new";
    const int fd = ::open(newPath.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
    if (fd < 0)
        return recordFailure("opening the new file", errno);
    if (auto status = writeAndSync(fd, 0, record); !status) {
        ::close(fd);
        return status;
    }
    if (::rename(newPath.c_str(), m_path.c_str()) != 0) {
        const int error = errno;
        ::close(fd);
        return recordFailure("rename", error);
    }
    ::close(m_fd);
    m_fd = fd;
    m_size = HeaderBytes + record.size();
    auto status = syncFolder(std::filesystem::path(m_path).parent_path().string(), m_calls);
    m_hasFailed = !status.isOk();
    return status;
}

} // namespace Camphor
