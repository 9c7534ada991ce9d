/// @file Command-line options common to all programs, over getopt_long.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// Exit code for wrong usage or wrong settings.
inline constexpr int UsageExitCode = 2;

/// A long option of a program.
struct OptionSpec
{
    std::string name;
    std::string valueName; ///< Empty for an option without a value.
    std::string help;

    auto operator<=>(const OptionSpec &) const = default;
};

/// What a program accepts and how it describes itself.
struct CommandLineSpec
{
    std::string program;
    std::string summary;
    std::string usage; ///< What follows the program's name in the usage line.
    std::vector<OptionSpec> options; ///< Besides --help and --version.
};

/// A parsed command line.
struct CommandLine
{
    std::map<std::string, std::string> options; ///< Value by name; "true" for one without a value.
    std::vector<std::string> arguments;

    [[nodiscard]] bool has(const std::string &name) const { return options.contains(name); }
    [[nodiscard]] std::string value(const std::string &name,
                                    const std::string &fallback = {}) const;
};

/// The options that every server program has: --settings FILE and --check.
[[nodiscard]] std::vector<OptionSpec> serverOptions();

/// Parses the command line. Prints and exits for --help and --version, and exits with
/// UsageExitCode after a message for a wrong option.
[[nodiscard]] CommandLine parseCommandLine(const CommandLineSpec &spec, int argc, char **argv);

/// Runs a program's body. UserError is printed and becomes UsageExitCode, any other exception 1.
[[nodiscard]] int runProgram(const std::string &program, const std::function<int()> &body);

} // namespace Camphor
