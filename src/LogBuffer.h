/// @file A bounded buffer of log lines that a thread writes to the output, so that logging never
/// blocks.
#pragma once

#include "Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace Camphor {

/// Priority of a line when the buffer is full.
enum class LogPriority : std::uint8_t {
    Ordinary, ///< Omitted first.
    Important, ///< Rejections, failures and changes of the state known to the process.
};

struct LogBufferSettings
{
    std::size_t maxBytes = std::size_t{256} * 1024;
    /// Share of the buffer that ordinary lines may occupy.
    double ordinaryShare = 0.5;
    Milliseconds flushPeriod{200};
    /// Longest time that the destructor waits for a blocked output.
    Milliseconds stopTimeout{500};
};

/// Buffers log lines. Thread-safe. Lines that don't fit are counted by event, and the count is
/// written as a line of its own as soon as there is space.
class LogBuffer
{
public:
    /// Writes bytes; may block or fail. Returns false after a permanent failure.
    using Sink = std::function<bool(std::string_view bytes)>;
    /// Makes the line that reports how many lines of an event were omitted.
    using OmissionLine = std::function<std::string(const std::string &event, std::uint64_t count)>;

    LogBuffer(const LogBufferSettings &settings, Sink sink, OmissionLine omissionLine);
    ~LogBuffer();
    LogBuffer(const LogBuffer &) = delete;
    LogBuffer &operator=(const LogBuffer &) = delete;

    /// Appends a line, or counts it as omitted. Never waits for the sink.
    void append(std::string_view event, std::string_view line, LogPriority priority);
    /// Counts a line that was omitted before it was formatted.
    void omit(std::string_view event);
    /// Returns the number of lines omitted since the start.
    [[nodiscard]] std::uint64_t omitted() const;

private:
    struct State;

    static void run(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace Camphor
