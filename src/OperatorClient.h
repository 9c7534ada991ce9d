/// @file Blocking calls from the operators' tool to control members and entries.
#pragma once

#include "Http.h"
#include "HttpClient.h"
#include "Settings.h"

#include <string>
#include <vector>

namespace Camphor {

/// The addresses and the token that the operators' tool uses.
struct OperatorSettings
{
    std::vector<Address> control; ///< Operator listeners of the control members.
    std::vector<Address> entries; ///< Caller listeners of the entries.
    std::string token;
    Milliseconds timeout{15'000}; ///< Timeout of a whole command.
};

/// Finds the leader and retries requests that are safe to retry.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorSettings settings);

    /// Returns the leader's response. Follows redirects, and retries until the timeout when a
    /// member is unreachable, has no leader or does not know the outcome. A PUT must carry an
    /// Idempotency-Key, so that it takes effect only once.
    [[nodiscard]] HttpResult callLeader(const HttpRequest &request) const;
    /// Sends one request to one address, without a retry.
    [[nodiscard]] HttpResult call(const Address &address, HttpRequest request,
                                  Milliseconds timeout) const;

    [[nodiscard]] const OperatorSettings &settings() const { return m_settings; }

private:
    OperatorSettings m_settings;
};

} // namespace Camphor
