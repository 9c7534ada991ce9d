/// @file Distributes load over the entries, in place of the load balancer of the platform.
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

/// Round-robin over the entries that are ready. Must be used on one thread.
class EntryBalancer
{
public:
    /// Starts requesting /readyz of each entry at a fixed interval.
    [[nodiscard]] static std::shared_ptr<EntryBalancer> make(boost::asio::io_context &io,
                                                             std::shared_ptr<HttpClient> client,
                                                             const std::vector<Address> &entries);

    virtual ~EntryBalancer() = default;

    /// The next ready entry other than 'avoid', or the next of all entries if there is none.
    [[nodiscard]] virtual Address next(const std::optional<Address> &avoid) = 0;
    /// Skips an entry until its next successful readiness check.
    virtual void markRefused(const Address &entry) = 0;
    virtual void stop() = 0;
};

} // namespace Camphor
