/// @file Blocking calls of the operators' tool to control members and entries.
#pragma once

#include "Http.h"
#include "HttpClient.h"
#include "Settings.h"

#include <string>
#include <vector>

namespace Camphor {

/// Where the operators' tool finds the system.
struct OperatorSettings
{
    std::vector<Address> control; ///< Operators' listeners of the control members.
    std::vector<Address> entries; ///< Callers' listeners of the entries.
    std::string token;
    Milliseconds timeout{15'000}; ///< Of a whole command.
};

/// Finds the leader and repeats what may be repeated.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorSettings settings);

    /// The answer of the leader. Follows redirects, and sends again when a member is lost, has no
    /// leader or does not know the outcome, until the timeout. A PUT must carry an
    /// Idempotency-Key, so that it takes effect once.
    [[nodiscard]] HttpResult callLeader(const HttpRequest &request) const;
    /// One call to one address.
    [[nodiscard]] HttpResult call(const Address &address, HttpRequest request,
                                  Milliseconds timeout) const;

    [[nodiscard]] const OperatorSettings &settings() const { return m_settings; }

private:
    OperatorSettings m_settings;
};

} // namespace Camphor
