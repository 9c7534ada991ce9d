#include "Log.h"

#include "Time.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/block_on_overflow.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <mutex>

namespace Camphor {

namespace {

namespace Sinks = boost::log::sinks;

/// Lines that may wait for the writer thread before callers are made to wait.
constexpr std::size_t MaxBufferedLines = 16384;

using Sink =
    Sinks::asynchronous_sink<Sinks::text_ostream_backend,
                             Sinks::bounded_fifo_queue<MaxBufferedLines, Sinks::block_on_overflow>>;

struct LogState
{
    LogSettings settings;
    boost::shared_ptr<Sink> sink;
    std::atomic<bool> started = false;
    std::mutex budgetMutex;
    Milliseconds budgetWindow;
    std::uint32_t budgetUsed = 0;
    std::uint64_t suppressed = 0;
};

LogState &state()
{
    static LogState instance;
    return instance;
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

/// True when a decision line fits into this second's limit.
bool takeDecisionBudget()
{
    auto &log = state();
    if (log.settings.decisionsPerSecond == 0)
        return true;
    const std::lock_guard lock(log.budgetMutex);
    const auto now = SteadyClock{}.now();
    if (now - log.budgetWindow >= Milliseconds{1000}) {
        log.budgetWindow = now;
        log.budgetUsed = 0;
    }
    if (log.budgetUsed >= log.settings.decisionsPerSecond) {
        ++log.suppressed;
        return false;
    }
    ++log.budgetUsed;
    return true;
}

bool isEnabled(LogLevel level)
{
    if (!state().started.load(std::memory_order_acquire) || level < state().settings.minimum)
        return false;
    return level != LogLevel::Decision || takeDecisionBudget();
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
    const bool plain =
        !value.empty() && value.find_first_of(" \"=\\\n\t\r") == std::string_view::npos;
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    appendEscaped(line, value);
    line += '"';
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
    auto &log = state();
    log.settings = settings;
    auto backend = boost::make_shared<Sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    log.sink = boost::make_shared<Sink>(backend);
    boost::log::core::get()->add_sink(log.sink);
    log.started.store(true, std::memory_order_release);
}

void stopLog()
{
    auto &log = state();
    if (!log.started.exchange(false))
        return;
    boost::log::core::get()->remove_sink(log.sink);
    log.sink->stop();
    log.sink->flush();
    log.sink.reset();
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level)
    , m_enabled(isEnabled(level))
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
    const bool json = state().settings.json;
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%.3f", wallClockMs() / 1000.0);
    std::string line;
    appendField(line, json, "time", time.data());
    appendField(line, json, "level", levelName(m_level));
    appendField(line, json, "event", m_event);
    for (const auto &[key, value] : m_fields)
        appendField(line, json, key, value);
    if (json)
        line += '}';
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << line;
}

} // namespace Camphor
