/// @file The instances that a control instance knew last, kept on its disk for a restart.
#pragma once

#include "FleetTypes.h"
#include "Result.h"

#include <string>
#include <vector>

namespace Camphor {

/// The file is a hint: what it says is checked with each instance before anything is started there,
/// and every instance's next report replaces it. A damaged file is an error and changes nothing.
class InstanceFile
{
public:
    explicit InstanceFile(std::string folder)
        : m_path(std::move(folder) + "/instances")
    {
    }

    /// The reports that were stored last; none if there is no file yet.
    [[nodiscard]] Result<std::vector<InstanceReport>> read() const;
    /// Replaces the file. The new content is synced, the name is not: after a loss of power either
    /// the former or the new file is there.
    [[nodiscard]] Status write(const std::vector<InstanceReport> &reports) const;

private:
    std::string m_path;
};

} // namespace Camphor
