#include "CommandLine.h"

#include "Log.h"
#include "Result.h"

#include <getopt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>

namespace Camphor {

namespace {

void printHelp(const CommandLineSpec &spec)
{
    std::cout << "Usage: " << spec.program << " " << spec.usage << "\n" << spec.summary << "\n\n";
    std::cout << "Options:\n";
    for (const auto &option : spec.options) {
        const auto label =
            "--" + option.name + (option.valueName.empty() ? "" : " " + option.valueName);
        std::cout << "  " << label << std::string(label.size() < 28 ? 28 - label.size() : 1, ' ')
                  << option.help << "\n";
    }
    std::cout << "  --help                      Print this text and exit.\n"
              << "  --version                   Print the version and exit.\n";
}

} // namespace

std::string CommandLine::value(const std::string &name, const std::string &fallback) const
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

std::vector<OptionSpec> serverOptions()
{
    return {{"settings", "FILE", "Settings file in YAML."},
            {"check", "", "Validate the settings and exit: 0 if they are valid, 2 if not."}};
}

CommandLine parseCommandLine(const CommandLineSpec &spec, int argc, char **argv)
{
    std::vector<option> table;
    std::ranges::transform(spec.options, std::back_inserter(table), [](const OptionSpec &it) {
        return option{it.name.c_str(), it.valueName.empty() ? no_argument : required_argument,
                      nullptr, 0};
    });
    table.push_back({"help", no_argument, nullptr, 0});
    table.push_back({"version", no_argument, nullptr, 0});
    table.push_back({nullptr, 0, nullptr, 0});

    CommandLine parsed;
    int index = 0;
    for (int code = 0; (code = getopt_long(argc, argv, "", table.data(), &index)) != -1;) {
        if (code != 0) {
            std::cerr << "Try '" << spec.program << " --help'.\n";
            std::exit(UsageExitCode);
        }
        const std::string name = table[static_cast<std::size_t>(index)].name;
        if (name == "help") {
            printHelp(spec);
            std::exit(EXIT_SUCCESS);
        }
        if (name == "version") {
            std::cout << spec.program << " " << CAMPHOR_VERSION << "\n";
            std::exit(EXIT_SUCCESS);
        }
        parsed.options[name] = optarg != nullptr ? optarg : "true";
    }
    std::copy(argv + optind, argv + argc, std::back_inserter(parsed.arguments));
    return parsed;
}

int runProgram(const std::string &program, const std::function<int()> &body)
{
    int code = EXIT_FAILURE;
    try {
        code = body();
    } catch (const UserError &e) {
        std::cerr << program << ": " << e.what() << "\n";
        code = UsageExitCode;
    } catch (const std::exception &e) {
        std::cerr << program << ": " << e.what() << "\n";
    }
    stopLog();
    return code;
}

} // namespace Camphor
