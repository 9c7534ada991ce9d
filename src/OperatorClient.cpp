#include "OperatorClient.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

namespace Camphor {

namespace {

constexpr Milliseconds AttemptTimeout{3'000};
constexpr std::chrono::milliseconds RetryDelay{100};

/// Parses the address in "http://IP:PORT/path".
std::optional<Address> addressOfLocation(std::string_view location)
{
    constexpr std::string_view Scheme = "http://";
    if (!location.starts_with(Scheme))
        return std::nullopt;
    location.remove_prefix(Scheme.size());
    const auto address = Address::parse(std::string(location.substr(0, location.find('/'))));
    return address ? std::optional(address.value()) : std::nullopt;
}

} // namespace

OperatorClient::OperatorClient(OperatorSettings settings)
    : m_settings(std::move(settings))
{
}

HttpResult OperatorClient::call(const Address &address, HttpRequest request,
                                Milliseconds timeout) const
{
    if (!m_settings.token.empty())
        request.headers["authorization"] = "Bearer " + m_settings.token;
    boost::asio::io_context io;
    const auto client = HttpClient::make(io, {});
    std::optional<HttpResult> result;
    client->send(address, std::move(request), timeout, [&](HttpResult it) {
        result = std::move(it);
        client->closeIdle();
    });
    io.run();
    return std::move(*result);
}

HttpResult OperatorClient::callLeader(const HttpRequest &request) const
{
    if (m_settings.control.empty()) {
        throw UserError(Error{ErrorCode::InvalidSettings,
                              "no control addresses. Fix: give --control IP:PORT[,IP:PORT...] or "
                              "a settings file with 'control'"});
    }
    const SteadyClock clock;
    const auto deadline = clock.now() + m_settings.timeout;
    HttpResult lastResult =
        HttpFailure{Error{ErrorCode::Unavailable, "no control member responded"}, false};
    bool maybeSent = false;
    auto memberAddress = m_settings.control.front();
    for (std::size_t n = 1;; ++n) {
        lastResult = call(memberAddress, request, AttemptTimeout);
        const auto *response = std::get_if<HttpResponse>(&lastResult);
        const bool isFinal = response != nullptr && response->status != 421
            && response->status != 503 && response->status != 504;
        if (isFinal)
            return lastResult;
        if (const auto *failure = std::get_if<HttpFailure>(&lastResult))
            maybeSent |= failure->maybeSent;
        else
            maybeSent |= response->status == 504;
        if (clock.now() >= deadline)
            break;
        const auto leader =
            response != nullptr ? addressOfLocation(response->header("location")) : std::nullopt;
        memberAddress = leader.value_or(m_settings.control[n % m_settings.control.size()]);
        if (!leader)
            std::this_thread::sleep_for(RetryDelay);
    }
    // An earlier attempt may have been accepted even if the last one certainly was not.
    return HttpFailure{Error{ErrorCode::Unavailable,
                             "no leader of the control group responded within the timeout"},
                       maybeSent};
}

} // namespace Camphor
