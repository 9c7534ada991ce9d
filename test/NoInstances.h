/// @file A client for tests that know no instance.
#pragma once

#include "InstanceOrders.h"

namespace Camphor::Testing {

/// A client that is never called, because no instance is known.
class NoInstances : public InstanceClient
{
public:
    void start(const StartOrder &, Milliseconds, OrderCallback) override { }
    void stop(const StopOrder &, Milliseconds, OrderCallback) override { }
    void hold(const HoldOrder &, Milliseconds, HoldCallback) override { }
    void setOnDisconnect(std::function<void(const std::string &)>) override { }
};

} // namespace Camphor::Testing
