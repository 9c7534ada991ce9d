/// @file Distributes load over the entries as the platform's load balancer would.
#pragma once

#include "HttpClient.h"
#include "Settings.h"

#include <memory>
#include <optional>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Selects entries round-robin and skips those that are not ready. Must be used on one thread.
class EntryBalancer
{
public:
    /// Starts requesting /readyz of each entry at a fixed interval.
    [[nodiscard]] static std::shared_ptr<EntryBalancer> make(boost::asio::io_context &io,
                                                             std::shared_ptr<HttpClient> client,
                                                             const std::vector<Address> &entries);

    virtual ~EntryBalancer() = default;

    /// The next ready entry other than 'avoid'. If there is none, the next of all entries, which
    /// may be 'avoid'.
    [[nodiscard]] virtual Address next(const std::optional<Address> &avoid) = 0;
    /// Skips an entry until its next successful readiness check.
    virtual void markRefused(const Address &entry) = 0;
    virtual void stop() = 0;
};

} // namespace Camphor
