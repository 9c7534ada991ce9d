#include "SyncedFile.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace Camphor {

namespace {

Error storageError(const std::string &action, const std::string &path)
{
    return Error{ErrorCode::Storage,
                 "cannot " + action + " " + path + ": " + std::generic_category().message(errno)};
}

/// Owns a file descriptor.
class FileDescriptor
{
public:
    explicit FileDescriptor(int fd)
        : m_fd(fd)
    {
    }
    ~FileDescriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;
    FileDescriptor &operator=(FileDescriptor &&) = delete;

    [[nodiscard]] int get() const { return m_fd; }

private:
    int m_fd;
};

class PosixFile : public SyncedFile
{
public:
    PosixFile(FileDescriptor fd, std::string path)
        : m_fd(std::move(fd))
        , m_path(std::move(path))
    {
    }

    Status append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const auto n = ::write(m_fd.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                return storageError("write", m_path);
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return okStatus();
    }

    Status sync() override
    {
        if (::fdatasync(m_fd.get()) != 0)
            return storageError("sync", m_path);
        return okStatus();
    }

private:
    FileDescriptor m_fd;
    std::string m_path;
};

class PosixFolder : public SyncedFolder
{
public:
    PosixFolder(FileDescriptor fd, std::string path)
        : m_fd(std::move(fd))
        , m_path(std::move(path))
    {
    }

    Result<std::unique_ptr<SyncedFile>> append(const std::string &name) override
    {
        FileDescriptor fd(
            ::openat(m_fd.get(), name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600));
        if (fd.get() < 0)
            return storageError("open", pathOf(name));
        // The name of a new file is part of the folder, which needs a sync of its own.
        if (const auto status = syncFolder(); !status)
            return status.error();
        return std::unique_ptr<SyncedFile>(
            std::make_unique<PosixFile>(std::move(fd), pathOf(name)));
    }

    Result<std::string> read(const std::string &name, std::uint64_t offset,
                             std::size_t maxBytes) override
    {
        const FileDescriptor fd(::openat(m_fd.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
        if (fd.get() < 0)
            return storageError("open", pathOf(name));
        std::string bytes(maxBytes, '\0');
        std::size_t size = 0;
        while (size < maxBytes) {
            const auto n = ::pread(fd.get(), bytes.data() + size, maxBytes - size,
                                   static_cast<off_t>(offset + size));
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                return storageError("read", pathOf(name));
            if (n == 0)
                break;
            size += static_cast<std::size_t>(n);
        }
        bytes.resize(size);
        return bytes;
    }

    Result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        std::error_code ec;
        for (const auto &entry : std::filesystem::directory_iterator(m_path, ec))
            names.push_back(entry.path().filename().string());
        if (ec)
            return Error{ErrorCode::Storage, "cannot list " + m_path + ": " + ec.message()};
        std::ranges::sort(names);
        return names;
    }

    Status rename(const std::string &from, const std::string &to) override
    {
        if (::renameat(m_fd.get(), from.c_str(), m_fd.get(), to.c_str()) != 0)
            return storageError("rename", pathOf(from));
        return syncFolder();
    }

    Status remove(const std::string &name) override
    {
        if (::unlinkat(m_fd.get(), name.c_str(), 0) != 0)
            return storageError("remove", pathOf(name));
        return syncFolder();
    }

    Status truncate(const std::string &name, std::uint64_t size) override
    {
        const FileDescriptor fd(::openat(m_fd.get(), name.c_str(), O_WRONLY | O_CLOEXEC));
        if (fd.get() < 0 || ::ftruncate(fd.get(), static_cast<off_t>(size)) != 0
            || ::fsync(fd.get()) != 0) {
            return storageError("truncate", pathOf(name));
        }
        return okStatus();
    }

private:
    [[nodiscard]] std::string pathOf(const std::string &name) const { return m_path + "/" + name; }

    Status syncFolder()
    {
        if (::fsync(m_fd.get()) != 0)
            return storageError("sync", m_path);
        return okStatus();
    }

    FileDescriptor m_fd;
    std::string m_path;
};

} // namespace

Result<std::shared_ptr<SyncedFolder>> SyncedFolder::open(const std::string &path)
{
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    if (ec)
        return Error{ErrorCode::Storage, "cannot create " + path + ": " + ec.message()};
    FileDescriptor fd(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.get() < 0)
        return storageError("open", path);
    if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
        return Error{ErrorCode::Storage,
                     path + " is in use by another process. Fix: give each process its own folder"};
    }
    return std::shared_ptr<SyncedFolder>(std::make_shared<PosixFolder>(std::move(fd), path));
}

Status writeFileSynced(const std::string &path, const std::string &text)
{
    constexpr mode_t OwnerOnly = 0600;
    const int fd = ::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, OwnerOnly);
    if (fd < 0)
        return Error{ErrorCode::Storage, path + ": " + std::strerror(errno)};
    const auto writtenBytes = ::write(fd, text.data(), text.size());
    const bool isStored = writtenBytes == static_cast<ssize_t>(text.size()) && ::fsync(fd) == 0;
    const int errorNumber = errno;
    ::close(fd);
    if (!isStored)
        return Error{ErrorCode::Storage, path + ": " + std::strerror(errorNumber)};
    return okStatus();
}

} // namespace Camphor
