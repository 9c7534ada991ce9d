/// @file The declaration in force at an entry, and its copy on disk.
#pragma once

#include "Declaration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Camphor {

/// Takes declarations in any order and puts only newer ones in force. Thread-safe.
class AppliedDeclaration
{
public:
    using Apply = std::function<void(const std::shared_ptr<const Declaration> &)>;

    /// @param dataFolder empty when nothing is kept on disk. @param apply called with each version
    /// in turn, by one thread at a time.
    AppliedDeclaration(std::string dataFolder, Apply apply);

    /// Puts the copy on disk in force. @return an error when it is there and can't be used.
    [[nodiscard]] Status restore();
    /// Puts a version in force unless it is not newer than the current one.
    void offer(const VersionedDeclaration &offered);
    [[nodiscard]] VersionedDeclaration current() const;

    /// Name of the copy inside the data folder.
    static constexpr const char *FileName = "declaration.applied";

private:
    void put(const VersionedDeclaration &next, Declaration declaration);

    const std::string m_dataFolder;
    const Apply m_apply;
    std::mutex m_applyMutex;
    mutable std::mutex m_mutex;
    VersionedDeclaration m_current;
};

/// Replaces a file so that after a crash either the old or the new content is there: writes a
/// temporary file, syncs it, renames it and syncs the folder.
[[nodiscard]] Status replaceFile(const std::string &folder, const std::string &name,
                                 const std::string &content);

} // namespace Camphor
