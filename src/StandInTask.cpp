#include "StandInTask.h"

#include <nlohmann/json.hpp>

#include <xxhash.h>

#include <algorithm>
#include <type_traits>

namespace Camphor {

namespace {

std::string checksumOf(const std::string &id, const std::string &padding)
{
    const auto text = id + "/" + padding;
    return std::to_string(XXH64(text.data(), text.size(), 0));
}

template <typename T>
T fieldOr(const nlohmann::json &json, const char *name, T fallback)
{
    const auto it = json.find(name);
    if (it == json.end())
        return fallback;
    if constexpr (std::is_same_v<T, std::string>)
        return it->is_string() ? it->template get<std::string>() : fallback;
    else
        return it->is_number() ? it->template get<T>() : fallback;
}

} // namespace

std::string encodeTask(const StandInTask &task)
{
    return nlohmann::json{
        {"id", task.id}, {"runMs", task.runTime.count()}, {"answerBytes", task.responseBytes}}
        .dump();
}

StandInTask decodeTask(std::string_view input)
{
    const auto json = nlohmann::json::parse(input, nullptr, false);
    if (!json.is_object())
        return {};
    return {fieldOr<std::string>(json, "id", {}), Milliseconds{fieldOr(json, "runMs", 0.0)},
            static_cast<std::size_t>(std::clamp(fieldOr(json, "answerBytes", 0.0), 0.0,
                                                static_cast<double>(MaxResponseBytes)))};
}

std::string makeResponseBody(const StandInTask &task, std::string_view input)
{
    if (task.id.empty())
        return std::string(input);
    const std::string padding(task.responseBytes, 'x');
    return nlohmann::json{
        {"id", task.id}, {"filling", padding}, {"checksum", checksumOf(task.id, padding)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ResponseCheck checkResponse(const StandInTask &task, std::string_view response)
{
    const auto json = nlohmann::json::parse(response, nullptr, false);
    if (!json.is_object())
        return ResponseCheck::Partial;
    const auto id = fieldOr<std::string>(json, "id", {});
    const auto padding = fieldOr<std::string>(json, "filling", {});
    if (id != task.id || fieldOr<std::string>(json, "checksum", {}) != checksumOf(id, padding))
        return ResponseCheck::Wrong;
    return padding.size() == task.responseBytes ? ResponseCheck::Complete : ResponseCheck::Partial;
}

} // namespace Camphor
