/// @file Files whose content is durable once synced, behind an interface that tests can replace.
#pragma once

#include "Result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// An append-only file. After an error of append() or sync() it is unknown which of the bytes
/// appended since the last sync were written, and the file must not be used any more.
class SyncedFile
{
public:
    virtual ~SyncedFile() = default;

    [[nodiscard]] virtual Status append(std::string_view bytes) = 0;
    /// Returns once everything appended so far is durable.
    [[nodiscard]] virtual Status sync() = 0;
};

/// A folder of such files, without subfolders. A rename or removal is durable when the call
/// returns.
class SyncedFolder
{
public:
    virtual ~SyncedFolder() = default;

    /// Opens the folder at a path and creates it if it is missing. It is an error if another
    /// process has it open.
    [[nodiscard]] static Result<std::shared_ptr<SyncedFolder>> open(const std::string &path);

    /// Opens a file for appending; creates it if it is missing.
    [[nodiscard]] virtual Result<std::unique_ptr<SyncedFile>> append(const std::string &name) = 0;
    /// Reads up to maxBytes bytes from an offset; returns an empty string at the end of the file.
    [[nodiscard]] virtual Result<std::string> read(const std::string &name, std::uint64_t offset,
                                                   std::size_t maxBytes) = 0;
    [[nodiscard]] virtual Result<std::vector<std::string>> list() = 0;
    [[nodiscard]] virtual Status rename(const std::string &from, const std::string &to) = 0;
    [[nodiscard]] virtual Status remove(const std::string &name) = 0;
    /// Truncates a file to a size; durable when the call returns.
    [[nodiscard]] virtual Status truncate(const std::string &name, std::uint64_t size) = 0;
};

/// Writes a small file, replacing an existing one. The content is durable when the call returns.
[[nodiscard]] Status writeFileSynced(const std::string &path, const std::string &text);

} // namespace Camphor
