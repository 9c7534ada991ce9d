#include "Log.h"

#include "LogBuffer.h"
#include "Time.h"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>

namespace Camphor {

namespace {

namespace Sinks = boost::log::sinks;

/// Passes the records of Boost.Log to the buffer.
class BufferBackend : public Sinks::basic_formatted_sink_backend<char, Sinks::concurrent_feeding>
{
public:
    explicit BufferBackend(std::shared_ptr<LogBuffer> buffer)
        : m_buffer(std::move(buffer))
    {
    }

    void consume(const boost::log::record_view &record, const string_type &line)
    {
        const auto eventName = boost::log::extract<std::string>("Event", record);
        const auto event = eventName ? eventName.get() : std::string();
        const auto level = boost::log::extract<int>("Level", record);
        const bool isOrdinary = level && level.get() <= static_cast<int>(LogLevel::Decision);
        m_buffer->append(event, line, isOrdinary ? LogPriority::Ordinary : LogPriority::Important);
    }

private:
    std::shared_ptr<LogBuffer> m_buffer;
};

using Sink = Sinks::synchronous_sink<BufferBackend>;

struct LogState
{
    LogSettings settings;
    std::shared_ptr<LogBuffer> buffer;
    boost::shared_ptr<Sink> sink;
    std::atomic<bool> started = false;
    std::mutex budgetMutex;
    Milliseconds budgetWindowStart;
    std::uint32_t budgetUsed = 0;
};

LogState &logState()
{
    static LogState instance;
    return instance;
}

/// Writes all bytes. Runs on the buffer's own thread, so that only this thread blocks.
bool writeAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::write(fd, bytes.data(), bytes.size());
        if (n >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(n));
        } else if (errno == EAGAIN) {
            pollfd ready{fd, POLLOUT, 0};
            (void)::poll(&ready, 1, -1);
        } else if (errno != EINTR) {
            return false;
        }
    }
    return true;
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Decision:
        return "decision";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

/// Returns true if a decision line fits into the limit of the current second.
bool consumeDecisionBudget()
{
    auto &log = logState();
    if (log.settings.decisionsPerSecond == 0)
        return true;
    const std::lock_guard lock(log.budgetMutex);
    const auto now = SteadyClock{}.now();
    if (now - log.budgetWindowStart >= Milliseconds{1000}) {
        log.budgetWindowStart = now;
        log.budgetUsed = 0;
    }
    return log.budgetUsed++ < log.settings.decisionsPerSecond;
}

bool isEnabled(LogLevel level, LogEvent event)
{
    if (!logState().started.load(std::memory_order_acquire) || level < logState().settings.minimum)
        return false;
    if (level != LogLevel::Decision || consumeDecisionBudget())
        return true;
    logState().buffer->omit(logEventName(event));
    return false;
}

void appendEscaped(std::string &line, std::string_view text)
{
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
            line.push_back(c);
        } else if (static_cast<unsigned char>(c) < 0x20) {
            constexpr auto Digits = "0123456789abcdef";
            line += "\\u00";
            line.push_back(Digits[(static_cast<unsigned char>(c) >> 4) & 0xF]);
            line.push_back(Digits[static_cast<unsigned char>(c) & 0xF]);
        } else {
            line.push_back(c);
        }
    }
}

void appendField(std::string &line, bool json, std::string_view key, std::string_view value)
{
    if (json) {
        line += line.empty() ? "{\"" : ",\"";
        line += key;
        line += "\":\"";
        appendEscaped(line, value);
        line += '"';
        return;
    }
    if (!line.empty())
        line += ' ';
    line += key;
    line += '=';
    const bool isPlain =
        !value.empty() && value.find_first_of(" \"=\\\n\t\r") == std::string_view::npos;
    if (isPlain) {
        line += value;
        return;
    }
    line += '"';
    appendEscaped(line, value);
    line += '"';
}

using LogFields = std::vector<std::pair<std::string, std::string>>;

std::string makeLine(bool json, LogLevel level, LogEvent event, const LogFields &fields)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%.3f", wallClockMs() / 1000.0);
    std::string line;
    appendField(line, json, "time", time.data());
    appendField(line, json, "level", levelName(level));
    appendField(line, json, "event", logEventName(event));
    for (const auto &[key, value] : fields)
        appendField(line, json, key, value);
    if (json)
        line += '}';
    return line;
}

} // namespace

bool parseLogLevel(std::string_view text, LogLevel &level)
{
    for (const auto candidate : {LogLevel::Debug, LogLevel::Decision, LogLevel::Info,
                                 LogLevel::Warning, LogLevel::Error}) {
        if (text == levelName(candidate)) {
            level = candidate;
            return true;
        }
    }
    return false;
}

void startLog(const LogSettings &settings)
{
    auto &log = logState();
    log.settings = settings;
    // A closed standard output must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const int fd = settings.toStandardError ? STDERR_FILENO : STDOUT_FILENO;
    log.buffer = std::make_shared<LogBuffer>(
        LogBufferSettings{}, [fd](std::string_view bytes) { return writeAll(fd, bytes); },
        [json = settings.json](const std::string &event, std::uint64_t count) {
            return makeLine(json, LogLevel::Warning, LogEvent::LinesLeftOut,
                            {{"of", event}, {"count", std::to_string(count)}});
        });
    log.sink = boost::make_shared<Sink>(boost::make_shared<BufferBackend>(log.buffer));
    boost::log::core::get()->add_sink(log.sink);
    log.started.store(true, std::memory_order_release);
}

void stopLog()
{
    auto &log = logState();
    if (!log.started.exchange(false))
        return;
    boost::log::core::get()->remove_sink(log.sink);
    log.sink.reset();
    log.buffer.reset();
}

std::uint64_t omittedLogLines()
{
    const auto buffer = logState().buffer;
    return buffer ? buffer->omitted() : 0;
}

LogLine::LogLine(LogLevel level, LogEvent event)
    : m_level(level)
    , m_enabled(isEnabled(level, event))
    , m_event(event)
{
}

LogLine &LogLine::kv(std::string_view key, const std::string &value)
{
    if (m_enabled)
        m_fields.emplace_back(key, value);
    return *this;
}

LogLine &LogLine::kv(std::string_view key, const char *value)
{
    if (m_enabled)
        m_fields.emplace_back(key, value);
    return *this;
}

LogLine::~LogLine()
{
    if (!m_enabled)
        return;
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << boost::log::add_value("Event", std::string(logEventName(m_event)))
                      << boost::log::add_value("Level", static_cast<int>(m_level))
                      << makeLine(logState().settings.json, m_level, m_event, m_fields);
}

} // namespace Camphor
