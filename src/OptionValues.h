/// @file Typed access to the values of command-line options. All functions throw UserError.
#pragma once

#include "CommandLine.h"
#include "Settings.h"

#include <string>
#include <vector>

namespace Camphor {

/// Converts the values of a parsed command line; each error names the option and a fix.
class OptionValues
{
public:
    explicit OptionValues(const CommandLine &line)
        : m_line(line)
    {
    }

    [[nodiscard]] long integer(const std::string &name, long fallback, long min, long max) const;
    [[nodiscard]] double number(const std::string &name, double fallback, double min,
                                double max) const;
    [[nodiscard]] Address address(const std::string &name, const std::string &fallback) const;
    /// Returns the comma-separated items; none if the option is missing.
    [[nodiscard]] std::vector<std::string> list(const std::string &name) const;
    [[nodiscard]] std::vector<Address> addresses(const std::string &name) const;

private:
    const CommandLine &m_line;
};

} // namespace Camphor
