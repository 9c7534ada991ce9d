#include "RaftStorage.h"
#include "TestProcess.h"

#include <catch2/catch.hpp>

#include <cerrno>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

RaftActions entryActions(std::uint64_t index)
{
    RaftActions actions;
    actions.append = {{index, 1, RaftEntryKind::Command, std::string(2'000, 'x')}};
    return actions;
}

/// Writes an initial state and three entries. @return the path of the log file.
std::string writeLog(const std::string &folder)
{
    const auto state = RaftCore::initialState({{"a", "a", "a", true}});
    auto storage = RaftStorage::open(folder).value();
    REQUIRE(storage->rewrite(state).isOk());
    const RaftCore core({.instance = "a"}, state, Milliseconds{0});
    for (std::uint64_t n = 2; n <= 4; ++n)
        REQUIRE(storage->persist(entryActions(n), core).isOk());
    return folder + "/control.log";
}

void flipByte(const std::string &path, std::uint64_t offset)
{
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const auto byte = static_cast<char>(file.get() ^ 0x40);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
}

} // namespace

// Guards against a crash during a write after which the member can't start, or half a record is
// retained.
TEST_CASE("an incomplete last record is truncated", "[storage]")
{
    const TemporaryFolder folder;
    const auto path = writeLog(folder.path().string());
    const auto size = std::filesystem::file_size(path);
    const auto removedBytes = GENERATE(1U, 600U, 2'000U, 2'060U);
    std::filesystem::resize_file(path, size - removedBytes);
    if (removedBytes == 600U) // The new file size reached the disk, but the bytes did not.
        std::filesystem::resize_file(path, size);
    auto storage = RaftStorage::open(folder.path().string()).value();
    CHECK(storage->truncatedBytes() > 0);
    CHECK(storage->state().entries.size() == 2);
    const RaftCore core({.instance = "a"}, storage->state(), Milliseconds{0});
    REQUIRE(storage->persist(entryActions(4), core).isOk());
    storage.reset();
    CHECK(RaftStorage::open(folder.path().string()).value()->state().entries.size() == 3);
}

// Guards against a member that starts although synced entries are missing.
TEST_CASE("any other damage is an error with file and offset", "[storage]")
{
    const TemporaryFolder folder;
    const auto path = writeLog(folder.path().string());
    const auto size = std::filesystem::file_size(path);
    // In the first record, in the header and the payload of a middle record, and in the last
    // record.
    const auto offset = GENERATE_COPY(40UL, size - 3'000, size - 4'150, size - 100);
    flipByte(path, offset);
    const auto result = RaftStorage::open(folder.path().string());
    REQUIRE_FALSE(result.isOk());
    CHECK(result.error().code == ErrorCode::Storage);
    CHECK_THAT(result.error().message,
               Catch::Matchers::Contains(path + ": damaged record at offset "));
}

// Guards against reporting success after a full disk or a failed sync, even if a later system call
// would succeed.
TEST_CASE("after a full disk or a failed sync all further writes fail", "[storage]")
{
    const TemporaryFolder folder;
    (void)writeLog(folder.path().string());
    const bool isWriteFailing = GENERATE(true, false);
    const bool isRewrite = GENERATE(true, false);
    auto isFailing = std::make_shared<bool>(false);
    FileCalls calls = FileCalls::system();
    if (isWriteFailing) {
        calls.write = [isFailing, write = calls.write](int fd, const void *data, std::size_t size) {
            errno = ENOSPC;
            return *isFailing ? ssize_t{-1} : write(fd, data, size);
        };
    } else {
        calls.sync = [isFailing, sync = calls.sync](int fd) {
            errno = EIO;
            return *isFailing ? -1 : sync(fd);
        };
    }
    auto storage = RaftStorage::open(folder.path().string(), calls).value();
    const auto state = storage->state();
    const RaftCore core({.instance = "a"}, state, Milliseconds{0});
    *isFailing = true;
    const auto status =
        isRewrite ? storage->rewrite(state) : storage->persist(entryActions(5), core);
    REQUIRE_FALSE(status.isOk());
    CHECK(status.error().code == ErrorCode::Storage);
    *isFailing = false;
    CHECK_FALSE(storage->persist(entryActions(5), core).isOk());
}

// Guards against two processes that write to the same log.
TEST_CASE("a data folder can be opened by only one process at a time", "[storage]")
{
    const TemporaryFolder folder;
    const auto storage = RaftStorage::open(folder.path().string()).value();
    CHECK_FALSE(RaftStorage::open(folder.path().string()).isOk());
}
