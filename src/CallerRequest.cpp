#include "CallerRequest.h"

#include "Ids.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Camphor {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxKeyLength = 200;
constexpr std::size_t MaxNameLength = 100;
constexpr double MaxDeadlineMs = 86'400'000.0;
constexpr std::uint32_t MaxTickets = 10'000;
constexpr std::uint32_t MaxSlots = 65'536;
constexpr std::size_t MaxRunning = 65'536;

Error invalid(std::string reason) { return Error{ErrorCode::InvalidRequest, std::move(reason)}; }

bool isVisibleAscii(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && isVisibleAscii(text);
}

void readUrgency(std::string_view text, Submission &submission)
{
    submission.urgency = parseUrgency(text);
    if (!submission.urgency)
        throw UserError(invalid("invalid-urgency"));
}

void readDeadline(double milliseconds, Submission &submission)
{
    if (!std::isfinite(milliseconds) || milliseconds <= 0 || milliseconds > MaxDeadlineMs)
        throw UserError(invalid("invalid-deadline"));
    submission.deadline = Milliseconds{milliseconds};
}

void readKey(std::string_view key, Submission &submission)
{
    if (!isValidKey(key))
        throw UserError(invalid("invalid-key"));
    submission.key = key;
}

void readTeam(std::string_view team, Submission &submission)
{
    if (!isValidName(team))
        throw UserError(invalid("invalid-team"));
    submission.team = team;
}

void readHeaders(const HttpRequest &request, Submission &submission)
{
    const auto has = [&request](const char *name) { return request.headers.contains(name); };
    if (has("idempotency-key"))
        readKey(request.header("idempotency-key"), submission);
    if (has("camphorspindle-team"))
        readTeam(request.header("camphorspindle-team"), submission);
    if (has("camphorspindle-urgency"))
        readUrgency(request.header("camphorspindle-urgency"), submission);
    if (has("camphorspindle-deadline-ms")) {
        const auto text = request.header("camphorspindle-deadline-ms");
        double value = 0;
        const auto *last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, value);
        readDeadline(ec == std::errc{} && end == last ? value : -1, submission);
    }
    if (has("camphorspindle-repeatable")) {
        const auto text = request.header("camphorspindle-repeatable");
        if (text != "true" && text != "false")
            throw UserError(invalid("invalid-repeatable"));
        submission.isRepeatable = text == "true";
    }
}

/// Hashes the payload. Each part is preceded by its length, so that different payloads never
/// serialize to the same bytes.
std::uint64_t hashPayload(const Submission &submission)
{
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    const auto add = [&state](std::string_view part) {
        const std::uint64_t length = part.size();
        XXH3_64bits_update(&state, &length, sizeof(length));
        XXH3_64bits_update(&state, part.data(), part.size());
    };
    add(submission.isJob ? "job" : "request");
    add(submission.service);
    for (const auto &input : submission.inputs)
        add(*input);
    return XXH3_64bits_digest(&state);
}

std::string jsonString(const Json &value, const char *reason)
{
    if (!value.is_string())
        throw UserError(invalid(reason));
    return value.get<std::string>();
}

Json parseObject(const std::string &body)
{
    auto json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        throw UserError(invalid("body-is-not-a-json-object"));
    return json;
}

std::shared_ptr<const std::string> readInput(const Json &task)
{
    if (!task.is_object() || task.size() != 1 || !task.contains("input"))
        throw UserError(invalid("task-needs-exactly-the-key-input"));
    const auto &input = task["input"];
    return std::make_shared<const std::string>(input.is_string() ? input.get<std::string>()
                                                                 : input.dump());
}

void readTasks(const Json &tasks, Submission &submission)
{
    if (!tasks.is_array() || tasks.empty())
        throw UserError(invalid("tasks-must-be-a-list-of-at-least-one"));
    std::ranges::transform(tasks, std::back_inserter(submission.inputs), readInput);
}

void readJobField(const std::string &name, const Json &value, Submission &submission)
{
    if (name == "service")
        submission.service = jsonString(value, "invalid-service");
    else if (name == "key")
        readKey(jsonString(value, "invalid-key"), submission);
    else if (name == "team")
        readTeam(jsonString(value, "invalid-team"), submission);
    else if (name == "urgency")
        readUrgency(jsonString(value, "invalid-urgency"), submission);
    else if (name == "deadlineMs")
        readDeadline(value.is_number() ? value.get<double>() : -1, submission);
    else if (name == "tasks")
        readTasks(value, submission);
    else
        throw UserError(invalid("unknown-field: " + name));
}

std::uint32_t readSlots(const Json &value, std::uint32_t min)
{
    if (!value.is_number_integer() || value < min || value > MaxSlots)
        throw UserError(invalid("invalid-slots"));
    return value.get<std::uint32_t>();
}

void readServices(const Json &services, TargetAnnouncement &announcement)
{
    if (!services.is_object() || services.empty())
        throw UserError(invalid("services-must-map-names-to-slots"));
    for (const auto &[name, slots] : services.items()) {
        if (!isValidName(name))
            throw UserError(invalid("invalid-service"));
        announcement.services.push_back({name, readSlots(slots, 1)});
    }
}

void readRunning(const Json &running, TargetAnnouncement &announcement)
{
    if (!running.is_array() || running.size() > MaxRunning)
        throw UserError(invalid("running-must-be-a-list-of-attempt-ids"));
    for (const auto &attempt : running)
        announcement.running.push_back(jsonString(attempt, "invalid-attempt-id"));
}

void readState(const Json &state, TargetAnnouncement &announcement)
{
    if (state != "serving" && state != "leaving")
        throw UserError(invalid("state-must-be-serving-or-leaving"));
    announcement.isLeaving = state == "leaving";
}

TargetAnnouncement readAnnouncement(const std::string &id, const Json &json)
{
    if (!isValidName(id))
        throw UserError(invalid("invalid-target-id"));
    TargetAnnouncement announcement;
    announcement.id = id;
    const auto address =
        Address::parse(jsonString(json.value("address", Json()), "invalid-address"));
    if (!address)
        throw UserError(invalid("invalid-address"));
    announcement.address = address.value();
    readServices(json.value("services", Json()), announcement);
    if (json.contains("slots"))
        announcement.slots = readSlots(json["slots"], 0);
    announcement.worker = jsonString(json.value("worker", Json("")), "invalid-worker");
    announcement.rack = jsonString(json.value("rack", Json("")), "invalid-rack");
    announcement.domain = jsonString(json.value("domain", Json("")), "invalid-domain");
    readState(json.value("state", Json("serving")), announcement);
    readRunning(json.value("running", Json::array()), announcement);
    return announcement;
}

/// Calls a parser and converts its exceptions to an error.
template <typename T, typename F>
Result<T> catchErrors(F &&parse)
{
    try {
        return parse();
    } catch (const UserError &e) {
        return e.error();
    } catch (const Json::exception &) {
        // For example a string with invalid UTF-8.
        return invalid("invalid-json");
    }
}

} // namespace

bool isValidKey(std::string_view key)
{
    return !key.empty() && key.size() <= MaxKeyLength && isVisibleAscii(key);
}

Result<Submission> parseSingleRequest(HttpRequest request, const std::string &service)
{
    return catchErrors<Submission>([&] {
        Submission submission;
        submission.requestId = makeRandomId();
        readHeaders(request, submission);
        submission.service = service;
        submission.inputs.push_back(std::make_shared<const std::string>(std::move(request.body)));
        submission.payloadHash = hashPayload(submission);
        return submission;
    });
}

Result<Submission> parseJob(const HttpRequest &request)
{
    return catchErrors<Submission>([&] {
        Submission submission;
        submission.requestId = makeRandomId();
        submission.isJob = true;
        readHeaders(request, submission);
        const auto headerKey = submission.key;
        const auto json = parseObject(request.body);
        for (const auto &[name, value] : json.items())
            readJobField(name, value, submission);
        if (!headerKey.empty() && headerKey != submission.key)
            throw UserError(invalid("two-different-keys"));
        if (submission.service.empty())
            throw UserError(invalid("service-is-missing"));
        if (submission.inputs.empty())
            throw UserError(invalid("tasks-are-missing"));
        submission.payloadHash = hashPayload(submission);
        return submission;
    });
}

Result<std::uint32_t> parseTicketCount(const std::string &body)
{
    return catchErrors<std::uint32_t>([&] {
        const auto json = parseObject(body);
        const auto count = json.value("count", Json());
        if (!count.is_number_integer() || count < 1 || count > MaxTickets)
            throw UserError(invalid("count-must-be-from-1-to-10000"));
        return count.get<std::uint32_t>();
    });
}

Result<TargetAnnouncement> parseAnnouncement(const std::string &id, const std::string &body)
{
    return catchErrors<TargetAnnouncement>([&] { return readAnnouncement(id, parseObject(body)); });
}

} // namespace Camphor
