/// @file Compares the list of events with the operators' documentation.
#include "LogEvents.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <set>
#include <string>

using namespace Camphor;

namespace {

/// Returns the cells of a row of a Markdown table, without back quotes.
std::vector<std::string> cellsOf(const std::string &row)
{
    std::vector<std::string> cells;
    std::string cell;
    for (const char c : row.substr(1)) {
        if (c == '|') {
            const auto begin = cell.find_first_not_of(' ');
            const auto end = cell.find_last_not_of(' ');
            cells.push_back(begin == std::string::npos ? std::string()
                                                       : cell.substr(begin, end - begin + 1));
            cell.clear();
        } else if (c != '`') {
            cell.push_back(c);
        }
    }
    return cells;
}

} // namespace

TEST_CASE("the events documentation lists exactly the events of the code", "[log][events]")
{
    // Guards against a page that lacks an event, or describes one that was changed or removed.
    std::ifstream page(std::string(CAMPHOR_SOURCE_DIR) + "/docs/EVENTS.md");
    REQUIRE(page);
    std::map<std::string, std::vector<std::string>> rows;
    for (std::string line; std::getline(page, line);) {
        if (!line.starts_with("| `"))
            continue;
        const auto cells = cellsOf(line);
        REQUIRE(cells.size() == 3);
        CHECK(rows.emplace(cells[0], cells).second);
    }
    CHECK(rows.size() == logEvents().size());
    for (const auto &spec : logEvents()) {
        CAPTURE(spec.name);
        const auto it = rows.find(std::string(spec.name));
        REQUIRE(it != rows.end());
        CHECK(it->second[1] == spec.fields);
        CHECK(it->second[2] == spec.meaning);
    }
}

// Guards against two events of one name, and a look-up that matches a prefix of a field.
TEST_CASE("names of events are unique, and events and fields are found by name", "[log][events]")
{
    std::set<std::string_view> names;
    for (const auto &spec : logEvents()) {
        CAPTURE(spec.name);
        CHECK(names.insert(spec.name).second);
        CHECK(findLogEvent(spec.name) == &spec);
        CHECK(logEventName(spec.event) == spec.name);
        CHECK_FALSE(spec.hasField(""));
    }
    CHECK(findLogEvent("no-such-event") == nullptr);
    CHECK(findLogEvent("job-routed")->hasField("configuration"));
    CHECK_FALSE(findLogEvent("job-routed")->hasField("config"));
}
