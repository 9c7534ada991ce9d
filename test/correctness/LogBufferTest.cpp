/// @file Logging never blocks, and omitted lines are counted and reported.
#include "LogBuffer.h"

#include <catch2/catch.hpp>

#include <future>
#include <mutex>
#include <string>

using namespace Camphor;

namespace {

std::string omissionLine(const std::string &event, std::uint64_t count)
{
    return "left-out " + event + " " + std::to_string(count);
}

/// A sink whose output is blocked until it is released.
struct BlockedSink
{
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    std::promise<void> entered;
    std::once_flag once;
    std::mutex mutex;
    std::string written;

    bool write(std::string_view bytes)
    {
        std::call_once(once, [&] { entered.set_value(); });
        released.wait();
        const std::lock_guard lock(mutex);
        written += bytes;
        return true;
    }
};

} // namespace

// Guards against a process that stalls because nobody reads its output, and a log with silent gaps.
TEST_CASE("a blocked output does not block logging, and omitted lines are reported", "[log]")
{
    LogBufferSettings settings;
    settings.maxBytes = 1'000;
    settings.flushPeriod = Milliseconds{1};
    settings.stopTimeout = Milliseconds{60'000};
    BlockedSink sink;
    {
        LogBuffer buffer(
            settings, [&](std::string_view bytes) { return sink.write(bytes); }, omissionLine);
        buffer.append("first", "first", LogPriority::Important);
        sink.entered.get_future().wait();
        for (int n = 0; n < 10'000; ++n)
            buffer.append("ordinary", std::string(50, 'x'), LogPriority::Ordinary);
        // Ordinary lines leave space for important ones.
        buffer.append("refusal", "refused", LogPriority::Important);
        CHECK(buffer.omitted() > 9'900);
        sink.release.set_value();
    }
    CHECK(sink.written.find("refused\n") != std::string::npos);
    CHECK(sink.written.find("left-out ordinary 99") != std::string::npos);
    CHECK(sink.written.find("left-out refusal") == std::string::npos);
}

// Guards against a crash or a busy loop after the reader of the output has exited.
TEST_CASE("a closed pipe stops only the writing", "[log]")
{
    LogBufferSettings settings;
    settings.flushPeriod = Milliseconds{1};
    std::promise<void> firstWrite;
    std::once_flag once;
    LogBuffer buffer(
        settings,
        [&](std::string_view) {
            std::call_once(once, [&] { firstWrite.set_value(); });
            return false;
        },
        omissionLine);
    buffer.append("event", "line", LogPriority::Important);
    firstWrite.get_future().wait();
    // The thread marks the sink as failed right after its first failure.
    while (buffer.omitted() == 0)
        buffer.append("event", "line", LogPriority::Important);
    CHECK(buffer.omitted() > 0);
}

// Guards against a shutdown that hangs because nobody reads the output.
TEST_CASE("a permanently blocked output does not prevent shutdown", "[log]")
{
    LogBufferSettings settings;
    settings.flushPeriod = Milliseconds{1};
    settings.stopTimeout = Milliseconds{10};
    const auto sink = std::make_shared<BlockedSink>();
    {
        LogBuffer buffer(
            settings, [sink](std::string_view bytes) { return sink->write(bytes); }, omissionLine);
        buffer.append("event", "line", LogPriority::Important);
        sink->entered.get_future().wait();
    }
    sink->release.set_value();
    SUCCEED("the buffer was destroyed while its sink was blocked");
}
