/// @file Stores the instances known to a control instance on its disk for a restart.
#pragma once

#include "FleetTypes.h"
#include "Result.h"

#include <string>
#include <vector>

namespace Camphor {

/// The file is a hint: its content is verified with each instance before anything is started there,
/// and each instance's next report replaces it. A damaged file is an error and changes nothing.
class InstanceFile
{
public:
    explicit InstanceFile(std::string folder)
        : m_path(std::move(folder) + "/instances")
    {
    }

    /// Reads the reports that were stored last; none if there is no file yet.
    [[nodiscard]] Result<std::vector<InstanceReport>> read() const;
    /// Replaces the file. The new content is synced, the directory entry is not: after a power
    /// failure either the former or the new file is present.
    [[nodiscard]] Status write(const std::vector<InstanceReport> &reports) const;

private:
    std::string m_path;
};

} // namespace Camphor
