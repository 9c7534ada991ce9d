#include "Problem.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>

namespace Camphor {

namespace {

int statusOf(const JobResponse &response)
{
    if (response.status != 0)
        return response.status;
    switch (response.outcome) {
    case Outcome::NotRun:
        return 503;
    case Outcome::Completed:
        return 200;
    case Outcome::Failed:
        return 502;
    case Outcome::Unknown:
        return 504;
    }
    return 504;
}

std::string encodeBase64(const std::string &bytes)
{
    constexpr auto Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group =
                group << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        const auto used = std::min<std::size_t>(bytes.size() - n, 3);
        for (std::size_t k = 0; k < 4; ++k)
            text.push_back(k <= used ? Alphabet[group >> (18 - 6 * k) & 0x3F] : '=');
    }
    return text;
}

} // namespace

JobResponse JobResponse::notRun(std::string reason, int status, Milliseconds retryAfter)
{
    return {Outcome::NotRun, std::move(reason), 0, {}, status, retryAfter};
}

JobResponse JobResponse::unknown(std::string reason, std::uint32_t started)
{
    return {Outcome::Unknown, std::move(reason), started, {}, 0, {}};
}

HttpResponse makeProblem(const JobResponse &jobResponse, const std::string &requestId,
                         const std::string &key)
{
    nlohmann::json body{{"outcome", outcomeName(jobResponse.outcome)},
                        {"reason", jobResponse.reason},
                        {"started", jobResponse.started},
                        {"requestId", requestId}};
    if (!key.empty())
        body["key"] = key;
    // A reason may quote bytes of the request that are not valid UTF-8.
    auto response =
        makeResponse(statusOf(jobResponse), ProblemContentType,
                     body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (jobResponse.retryAfter > Milliseconds{})
        response.headers["retry-after"] =
            std::to_string(static_cast<long>(std::ceil(jobResponse.retryAfter.count() / 1000.0)));
    return response;
}

std::string bodyAsJson(const std::string &body)
{
    try {
        return nlohmann::json(body).dump();
    } catch (const nlohmann::json::type_error &) {
        return nlohmann::json{{"base64", encodeBase64(body)}}.dump();
    }
}

HttpResponse makeJobCompleted(const std::string &key, const std::string &results,
                              const std::string &requestId)
{
    auto response = makeResponse(200, "application/json",
                                 R"({"key":)" + nlohmann::json(key).dump()
                                     + R"(,"outcome":"completed","results":)" + results + "}");
    response.headers["camphorspindle-request"] = requestId;
    return response;
}

} // namespace Camphor
