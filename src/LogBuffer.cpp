#include "LogBuffer.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

namespace Camphor {

struct LogBuffer::State
{
    LogBufferSettings settings;
    Sink sink;
    OmissionLine omissionLine;

    std::mutex mutex;
    std::condition_variable wakeUp;
    std::condition_variable ended;
    std::string pending;
    std::size_t bytesInFlight = 0; ///< Bytes taken by the thread and not yet written.
    /// Omitted lines not yet reported, by event.
    std::map<std::string, std::uint64_t, std::less<>> unreportedOmissions;
    std::uint64_t omitted = 0;
    bool isStopping = false;
    bool hasSinkFailed = false; ///< The sink has failed permanently.
    bool hasEnded = false;

    void omit(std::string_view event)
    {
        ++omitted;
        const auto it = unreportedOmissions.find(event);
        if (it != unreportedOmissions.end())
            ++it->second;
        else
            unreportedOmissions.emplace(event, 1);
    }

    /// Moves all pending lines and omission reports into one text.
    std::string takePending()
    {
        auto bytes = std::exchange(pending, {});
        for (const auto &[event, count] : std::exchange(unreportedOmissions, {}))
            bytes += omissionLine(event, count) + "\n";
        bytesInFlight = bytes.size();
        return bytes;
    }
};

LogBuffer::LogBuffer(const LogBufferSettings &settings, Sink sink, OmissionLine omissionLine)
    : m_state(std::make_shared<State>())
{
    m_state->settings = settings;
    m_state->sink = std::move(sink);
    m_state->omissionLine = std::move(omissionLine);
    m_thread = std::thread([state = m_state] { run(state); });
}

LogBuffer::~LogBuffer()
{
    std::unique_lock lock(m_state->mutex);
    m_state->isStopping = true;
    m_state->wakeUp.notify_one();
    const auto timeout =
        std::chrono::duration<double, std::milli>(m_state->settings.stopTimeout.count());
    const bool hasEnded = m_state->ended.wait_for(lock, timeout, [&] { return m_state->hasEnded; });
    lock.unlock();
    // A blocked output keeps the thread in the sink; the process ends without waiting for it.
    if (hasEnded)
        m_thread.join();
    else
        m_thread.detach();
}

void LogBuffer::append(std::string_view event, std::string_view line, LogPriority priority)
{
    const std::lock_guard lock(m_state->mutex);
    const auto &settings = m_state->settings;
    const auto share = priority == LogPriority::Ordinary ? settings.ordinaryShare : 1.0;
    const auto limit = static_cast<std::size_t>(static_cast<double>(settings.maxBytes) * share);
    const auto used = m_state->pending.size() + m_state->bytesInFlight;
    if (m_state->hasSinkFailed || used + line.size() + 1 > limit) {
        m_state->omit(event);
        return;
    }
    m_state->pending += line;
    m_state->pending += '\n';
}

void LogBuffer::omit(std::string_view event)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->omit(event);
}

std::uint64_t LogBuffer::omitted() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->omitted;
}

void LogBuffer::run(const std::shared_ptr<State> &state)
{
    const auto period =
        std::chrono::duration<double, std::milli>(state->settings.flushPeriod.count());
    std::unique_lock lock(state->mutex);
    for (;;) {
        // Writing periodically saves a wake-up and a system call for each line.
        state->wakeUp.wait_for(lock, period, [&] { return state->isStopping; });
        const bool isLast = state->isStopping;
        const auto bytes = state->takePending();
        lock.unlock();
        const bool isWritten = bytes.empty() || state->sink(bytes);
        lock.lock();
        state->bytesInFlight = 0;
        if (!isWritten)
            state->hasSinkFailed = true;
        if (isLast || state->hasSinkFailed) {
            state->hasEnded = true;
            state->ended.notify_one();
            return;
        }
    }
}

} // namespace Camphor
