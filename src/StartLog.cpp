#include "StartLog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Camphor {

Result<StartLog> StartLog::open(const std::string &path)
{
    StartLog log;
    if (path.empty())
        return log;
    log.m_file.open(path, std::ios::app);
    if (!log.m_file) {
        return Error{ErrorCode::Storage,
                     "cannot open start log '" + path + "'. Fix: choose a folder that exists"};
    }
    return log;
}

void StartLog::append(const StartRecord &record)
{
    if (!m_file.is_open())
        return;
    nlohmann::json line{{"timeMs", record.timeMs},   {"target", record.target},
                        {"attempt", record.attempt}, {"task", record.task},
                        {"id", record.id},           {"service", record.service}};
    if (record.leavingMs > 0)
        line["leavingMs"] = record.leavingMs;
    m_file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n"
           << std::flush;
}

Result<std::vector<StartRecord>> readStartLog(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error{ErrorCode::Storage, "cannot read start log '" + path + "'"};
    std::vector<StartRecord> records;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (json.is_discarded()) {
            if (file.peek() == std::ifstream::traits_type::eof())
                break;
            return Error{ErrorCode::Storage,
                         path + ":" + std::to_string(number) + ": not a JSON line"};
        }
        StartRecord record;
        record.timeMs = json.value("timeMs", 0.0);
        record.target = json.value("target", "");
        record.attempt = json.value("attempt", "");
        record.task = json.value("task", "");
        record.id = json.value("id", "");
        record.service = json.value("service", "");
        record.leavingMs = json.value("leavingMs", 0.0);
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace Camphor
