/// @file The declaration in force at an entry, and its copy on disk.
#pragma once

#include "Declaration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Camphor {

/// Accepts declarations in any order and puts only newer ones in force. Thread-safe.
class AppliedDeclaration
{
public:
    using Apply = std::function<void(const std::shared_ptr<const Declaration> &)>;

    /// @param dataFolder empty if no copy is stored on disk. @param apply called with each version
    /// in turn, by one thread at a time.
    AppliedDeclaration(std::string dataFolder, Apply apply);

    /// Puts the copy on disk in force. @return an error if there is a copy that can't be used.
    [[nodiscard]] Status restore();
    /// Puts a version in force if it is newer than the current one.
    void applyIfNewer(const VersionedDeclaration &received);
    [[nodiscard]] VersionedDeclaration current() const;

    /// File name of the copy in the data folder.
    static constexpr const char *FileName = "declaration.applied";

private:
    void activate(const VersionedDeclaration &next, Declaration declaration);

    const std::string m_dataFolder;
    const Apply m_apply;
    std::mutex m_applyMutex;
    mutable std::mutex m_mutex;
    VersionedDeclaration m_current;
};

/// Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the folder.
/// After a crash either the old or the new content is there.
[[nodiscard]] Status replaceFile(const std::string &folder, const std::string &name,
                                 const std::string &content);

} // namespace Camphor
