/// @file Composes the modules of an entry and runs them.
#pragma once

#include "EntrySettings.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// One entry instance.
class EntryServer
{
public:
    /// Binds all addresses and starts. @return an error if an address or file can't be used.
    [[nodiscard]] static Result<std::shared_ptr<EntryServer>> make(boost::asio::io_context &io,
                                                                   const EntrySettings &settings);

    virtual ~EntryServer() = default;

    /// Finishes the accepted work and then stops the io_context.
    virtual void startDrain() = 0;
};

} // namespace Camphor
