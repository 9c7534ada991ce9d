#include "AppliedDeclaration.h"

#include "Log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace Camphor {

namespace {

Error storageError(const std::string &what, const std::string &path)
{
    return Error{ErrorCode::Storage,
                 what + " " + path + ": " + std::generic_category().message(errno)};
}

/// Owns a file descriptor.
class File
{
public:
    File(const std::string &path, int flags)
        : m_fd(::open(path.c_str(), flags | O_CLOEXEC, 0644))
    {
    }
    ~File()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    File(const File &) = delete;
    File &operator=(const File &) = delete;

    [[nodiscard]] bool isOpen() const { return m_fd >= 0; }
    [[nodiscard]] bool sync() const { return ::fsync(m_fd) == 0; }
    [[nodiscard]] bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto n = ::write(m_fd, bytes.data(), bytes.size());
            if (n < 0 && errno != EINTR)
                return false;
            bytes.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
        }
        return true;
    }

private:
    int m_fd;
};

/// Decodes the content of the file: the version, a line feed and the text.
Result<VersionedDeclaration> decodeFile(const std::string &path, const std::string &content)
{
    VersionedDeclaration stored;
    const auto lineEnd = std::min(content.find('\n'), content.size());
    const auto [end, ec] =
        std::from_chars(content.data(), content.data() + lineEnd, stored.version);
    if (ec != std::errc{} || end != content.data() + lineEnd || lineEnd == content.size()) {
        return Error{ErrorCode::Storage,
                     path
                         + ": the first line is not a version. Fix: remove the file; the entry "
                           "then waits for the current declaration"};
    }
    stored.text = content.substr(lineEnd + 1);
    return stored;
}

} // namespace

Status replaceFile(const std::string &folder, const std::string &name, const std::string &content)
{
    const auto path = folder + "/" + name;
    const auto temporary = path + ".new";
    {
        const File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        if (!file.isOpen() || !file.write(content) || !file.sync())
            return storageError("cannot write", temporary);
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        return storageError("cannot rename", temporary);
    const File directory(folder, O_RDONLY | O_DIRECTORY);
    if (!directory.isOpen() || !directory.sync())
        return storageError("cannot sync", folder);
    return okStatus();
}

AppliedDeclaration::AppliedDeclaration(std::string dataFolder, Apply apply)
    : m_dataFolder(std::move(dataFolder))
    , m_apply(std::move(apply))
{
}

Status AppliedDeclaration::restore()
{
    if (m_dataFolder.empty())
        return okStatus();
    std::error_code ec;
    std::filesystem::create_directories(m_dataFolder, ec);
    const auto path = m_dataFolder + "/" + FileName;
    std::ifstream file(path);
    if (!file)
        return okStatus();
    std::ostringstream content;
    content << file.rdbuf();
    auto stored = decodeFile(path, content.str());
    if (!stored)
        return stored.error();
    auto declaration = Declaration::parse(path, stored.value().text);
    if (!declaration)
        return declaration.error();
    const std::lock_guard lock(m_applyMutex);
    activate(stored.value(), std::move(declaration).value());
    return okStatus();
}

void AppliedDeclaration::applyIfNewer(const VersionedDeclaration &received)
{
    const std::lock_guard lock(m_applyMutex);
    if (received.version <= current().version) {
        Log::info(LogEvent::DeclarationIgnored)
            .kv("version", received.version)
            .kv("reason", "not-newer");
        return;
    }
    auto declaration = Declaration::parse("declaration", received.text);
    if (!declaration) {
        Log::error(LogEvent::DeclarationRejected)
            .kv("version", received.version)
            .kv("error", declaration.error().message);
        return;
    }
    if (!m_dataFolder.empty()) {
        const auto status = replaceFile(m_dataFolder, FileName,
                                        std::to_string(received.version) + "\n" + received.text);
        if (!status)
            Log::error(LogEvent::DeclarationNotKept).kv("error", status.error().message);
    }
    activate(received, std::move(declaration).value());
}

void AppliedDeclaration::activate(const VersionedDeclaration &next, Declaration declaration)
{
    m_apply(std::make_shared<const Declaration>(std::move(declaration)));
    Log::info(LogEvent::DeclarationApplied).kv("version", next.version);
    const std::lock_guard lock(m_mutex);
    m_current = next;
}

VersionedDeclaration AppliedDeclaration::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

} // namespace Camphor
