/// @file The names of events that scripts and pages spell are names that the programs log.
#include "LogEvents.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

using namespace Camphor;

namespace {

std::string read(const std::filesystem::path &path)
{
    std::ifstream in(path);
    REQUIRE(in);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// All matches of the first group of a pattern.
std::set<std::string> matches(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it)
        found.insert((*it)[1].str());
    return found;
}

std::vector<std::filesystem::path> filesIn(const char *folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &it :
         std::filesystem::directory_iterator(std::filesystem::path(CAMPHOR_SOURCE_DIR) / folder)) {
        if (it.is_regular_file())
            files.push_back(it.path());
    }
    return files;
}

} // namespace

TEST_CASE("scripts and pages spell only events that the programs log", "[log]")
{
    auto files = filesIn("tools");
    for (const auto *folder : {"docs", "docs/incidents"})
        std::ranges::copy(filesIn(folder), std::back_inserter(files));
    files.push_back(std::filesystem::path(CAMPHOR_SOURCE_DIR) / "README.md");
    for (const auto &file : files) {
        for (const auto &name : matches(read(file), std::regex("event=([a-z]+(?:-[a-z]+)*)"))) {
            INFO(file.filename().string() << " spells event=" << name);
            CHECK(findLogEvent(name) != nullptr);
        }
    }
}

TEST_CASE("tools/cluster waits for the event with which the load tool begins", "[log]")
{
    // The script compares bytes of the log, so the name stands there without "event=".
    const auto script = read(std::filesystem::path(CAMPHOR_SOURCE_DIR) / "tools" / "cluster");
    const auto waited = matches(script, std::regex("b\"([a-z]+(?:-[a-z]+)+)\" in log"));
    const auto begin = std::ranges::find(logEvents(), LogEvent::LoadStarted, &LogEventSpec::event);
    REQUIRE(begin != logEvents().end());
    CHECK(waited == std::set{std::string(begin->name)});
}
