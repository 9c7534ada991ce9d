/// @file The interface through which an entry receives new declarations.
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

    /// Starts delivery of the versions above lastVersion, from one thread at a time. Versions that
    /// have been superseded may be skipped.
    virtual void subscribe(std::uint64_t lastVersion, Callback callback) = 0;
    virtual void stop() = 0;
};

} // namespace Camphor
