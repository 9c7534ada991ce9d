#include "InstanceFile.h"

#include "SyncedFile.h"
#include "Wire.h"

#include <xxhash.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Camphor {

namespace {

/// Content of the file. The checksum detects a write that was torn by a power failure.
struct StoredInstances
{
    std::vector<InstanceReport> reports;
    std::uint64_t checksum = 0; ///< Of the encoded reports.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(reports, checksum);
    }
};

std::uint64_t checksumOf(const std::vector<InstanceReport> &reports)
{
    const auto bytes = encodeMessage(reports);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

Result<std::vector<InstanceReport>> InstanceFile::read() const
{
    std::ifstream file(m_path, std::ios::binary);
    if (!file)
        return std::vector<InstanceReport>{};
    std::ostringstream content;
    content << file.rdbuf();
    auto stored = decodeMessage<StoredInstances>(content.str());
    if (!stored)
        return stored.error();
    if (stored.value().checksum != checksumOf(stored.value().reports))
        return Error{ErrorCode::Storage, m_path + ": checksum mismatch"};
    return std::move(stored).value().reports;
}

Status InstanceFile::write(const std::vector<InstanceReport> &reports) const
{
    const auto temporary = m_path + ".new";
    auto status =
        writeFileSynced(temporary, encodeMessage(StoredInstances{reports, checksumOf(reports)}));
    if (!status)
        return status;
    std::error_code ec;
    std::filesystem::rename(temporary, m_path, ec);
    if (ec)
        return Error{ErrorCode::Storage, m_path + ": " + ec.message()};
    return okStatus();
}

} // namespace Camphor
