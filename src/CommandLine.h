/// @file Command-line options common to all programs, on top of getopt_long.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// Exit code for invalid usage or invalid settings.
inline constexpr int UsageExitCode = 2;

/// A long option of a program.
struct OptionSpec
{
    std::string name;
    std::string valueName; ///< Empty for an option without a value.
    std::string help;

    auto operator<=>(const OptionSpec &) const = default;
};

/// The options of a program and the texts of its help.
struct CommandLineSpec
{
    std::string program;
    std::string summary;
    std::string usage; ///< Text after the program's name in the usage line.
    std::vector<OptionSpec> options; ///< In addition to --help and --version.
};

/// A parsed command line.
struct CommandLine
{
    /// Value by option name; "true" for an option without a value.
    std::map<std::string, std::string> options;
    std::vector<std::string> arguments;

    [[nodiscard]] bool has(const std::string &name) const { return options.contains(name); }
    [[nodiscard]] std::string value(const std::string &name,
                                    const std::string &fallback = {}) const;
};

/// Returns the options of every server program: --settings FILE and --check.
[[nodiscard]] std::vector<OptionSpec> serverOptions();

/// Parses the command line. Prints the text and exits for --help and --version; prints a message
/// and exits with UsageExitCode for an invalid option.
[[nodiscard]] CommandLine parseCommandLine(const CommandLineSpec &spec, int argc, char **argv);

/// Runs the body of a program and returns the exit code. A UserError is printed and gives
/// UsageExitCode, any other exception gives 1.
[[nodiscard]] int runProgram(const std::string &program, const std::function<int()> &body);

} // namespace Camphor
