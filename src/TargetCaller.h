/// @file Calls to targets, and the classification of their results.
#pragma once

#include "HttpClient.h"
#include "Time.h"

#include <functional>
#include <memory>
#include <string>

namespace Camphor {

/// What is known about an attempt after its call has ended.
enum class AttemptEnd {
    Completed, ///< The complete result arrived.
    Failed, ///< The target responded without a result.
    Unknown, ///< The call was sent, and no complete response arrived.
    NotStarted, ///< The attempt is proven not to have started.
};

/// The name of an end in logs and metrics.
[[nodiscard]] const char *attemptEndName(AttemptEnd end);

/// One call to a target.
struct TargetCall
{
    Address address;
    std::string service;
    std::string attempt; ///< <requestId>.<taskIndex>.<attemptNumber>
    std::uint32_t task = 0;
    Milliseconds timeLeft; ///< Until the deadline of the request.
    std::shared_ptr<const std::string> input;
};

/// The end of one call.
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Unknown;
    std::string body; ///< Only with AttemptEnd::Completed.
    std::string reason; ///< Short lower-case words joined by '-'; empty with Completed.
    Milliseconds runTime;

    auto operator<=>(const AttemptResult &) const = default;
};

/// Classifies the result of a call. A pure function, so that each fault can be tested.
[[nodiscard]] AttemptResult classifyTargetResult(HttpResult result, const std::string &attempt);

/// Sends calls to targets. Thread-safe.
class TargetCaller
{
public:
    using Callback = std::function<void(AttemptResult)>;

    TargetCaller(std::shared_ptr<HttpClient> client, const Clock &clock);

    /// Sends POST /v1/run once. The callback is called exactly once.
    void run(const TargetCall &call, Callback callback);
    /// Sends DELETE /v1/run/{attempt}. The response proves nothing and is ignored.
    void stop(const Address &address, const std::string &attempt);

    /// Closes idle connections.
    void closeIdle() { m_client->closeIdle(); }

    [[nodiscard]] std::uint64_t unsolicitedResponses() const
    {
        return m_client->unsolicitedResponses();
    }

private:
    std::shared_ptr<HttpClient> m_client;
    const Clock &m_clock;
};

} // namespace Camphor
