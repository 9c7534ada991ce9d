/// @file An in-memory folder that simulates a slow, failing or full disk, and the loss of unsynced
/// bytes.
#pragma once

#include "SyncedFile.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace Camphor::Testing {

/// The faults that a folder simulates.
struct FolderFaults
{
    std::chrono::microseconds syncDelay{0};
    long syncsUntilError = -1; ///< Number of successful syncs before all further ones fail;
                               ///< negative for none.
    std::uint64_t capacity = ~std::uint64_t{0}; ///< Capacity in bytes of all files together.
};

/// Thread-safe. Must outlive the files that it has opened.
class FaultyFolder : public SyncedFolder
{
public:
    explicit FaultyFolder(FolderFaults faults = {})
        : m_faults(faults)
    {
    }

    Result<std::unique_ptr<SyncedFile>> append(const std::string &name) override
    {
        const std::lock_guard lock(m_mutex);
        m_files[name];
        return std::unique_ptr<SyncedFile>(std::make_unique<File>(*this, name));
    }
    Result<std::string> read(const std::string &name, std::uint64_t offset,
                             std::size_t maxBytes) override
    {
        const std::lock_guard lock(m_mutex);
        const auto &bytes = m_files[name].bytes;
        return offset < bytes.size() ? bytes.substr(offset, maxBytes) : std::string();
    }
    Result<std::vector<std::string>> list() override
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> names;
        names.reserve(m_files.size());
        for (const auto &[name, content] : m_files)
            names.push_back(name);
        return names;
    }
    Status rename(const std::string &from, const std::string &to) override
    {
        const std::lock_guard lock(m_mutex);
        m_files[to] = m_files[from];
        m_files.erase(from);
        return okStatus();
    }
    Status remove(const std::string &name) override
    {
        const std::lock_guard lock(m_mutex);
        m_files.erase(name);
        return okStatus();
    }
    Status truncate(const std::string &name, std::uint64_t size) override
    {
        const std::lock_guard lock(m_mutex);
        auto &file = m_files[name];
        file.bytes.resize(size);
        file.syncedBytes = std::min(file.syncedBytes, file.bytes.size());
        return okStatus();
    }

    /// Simulates a loss of power: each file is truncated to its synced part plus up to the given
    /// number of unsynced bytes.
    void crash(std::size_t survivingUnsyncedBytes = 0)
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[name, file] : m_files)
            file.bytes.resize(
                std::min(file.bytes.size(), file.syncedBytes + survivingUnsyncedBytes));
    }
    void setFaults(FolderFaults faults)
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
    }
    std::string content(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        return m_files[name].bytes;
    }
    void setContent(const std::string &name, const std::string &bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_files[name] = {bytes, bytes.size()};
    }

private:
    struct Content
    {
        std::string bytes;
        std::size_t syncedBytes = 0;
    };
    class File : public SyncedFile
    {
    public:
        File(FaultyFolder &folder, std::string name)
            : m_folder(folder)
            , m_name(std::move(name))
        {
        }
        Status append(std::string_view bytes) override
        {
            const std::lock_guard lock(m_folder.m_mutex);
            std::uint64_t usedBytes = bytes.size();
            for (const auto &[name, content] : m_folder.m_files)
                usedBytes += content.bytes.size();
            auto &file = m_folder.m_files[m_name];
            // A full disk accepts part of the bytes, as write() does.
            const bool isFull = usedBytes > m_folder.m_faults.capacity;
            file.bytes += bytes.substr(0, isFull ? bytes.size() / 2 : bytes.size());
            if (isFull)
                return Error{ErrorCode::Storage, "no space left on device"};
            return okStatus();
        }
        Status sync() override
        {
            std::unique_lock lock(m_folder.m_mutex);
            const auto size = m_folder.m_files[m_name].bytes.size();
            auto &faults = m_folder.m_faults;
            if (faults.syncsUntilError == 0)
                return Error{ErrorCode::Storage, "input/output error"};
            faults.syncsUntilError -= faults.syncsUntilError > 0 ? 1 : 0;
            const auto delay = faults.syncDelay;
            lock.unlock();
            std::this_thread::sleep_for(delay);
            lock.lock();
            m_folder.m_files[m_name].syncedBytes = size;
            return okStatus();
        }

    private:
        FaultyFolder &m_folder;
        std::string m_name;
    };

    std::mutex m_mutex;
    FolderFaults m_faults;
    std::map<std::string, Content> m_files;
};

} // namespace Camphor::Testing
