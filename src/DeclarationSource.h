/// @file The interface through which an entry learns of new declarations.
#pragma once

#include "Declaration.h"

#include <functional>

namespace Camphor {

/// Delivers declarations in the order of their versions.
class DeclarationSource
{
public:
    using Callback = std::function<void(const VersionedDeclaration &)>;

    virtual ~DeclarationSource() = default;

    /// Starts to deliver every version above lastVersion, from one thread at a time. A version
    /// may be skipped when a newer one is known.
    virtual void subscribe(std::uint64_t lastVersion, Callback callback) = 0;
    virtual void stop() = 0;
};

} // namespace Camphor
