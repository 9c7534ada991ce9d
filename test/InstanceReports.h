/// @file Reports of instances, for tests of their holders.
#pragma once

#include "FleetTypes.h"

namespace Camphor::Testing {

/// A report of the only instance of a test.
inline InstanceReport makeReport(std::uint64_t startTimeMs = 1'000)
{
    InstanceReport report;
    report.key = {"worker-1", startTimeMs};
    report.sequence = 1;
    report.service = "service";
    report.address = "127.0.0.1:1";
    report.domain = "north";
    report.capacity = {32'000, 1'000, 0};
    return report;
}

} // namespace Camphor::Testing
