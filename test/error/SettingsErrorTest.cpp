#include "Settings.h"

#include <catch2/catch.hpp>

using namespace Camphor;

// Guards against settings errors that do not state the position and the fix.
TEST_CASE("a settings error names line, column, key and fix", "[settings]")
{
    auto node = SettingsNode::parse("entry.yaml", "threads: many\n").value();
    try {
        (void)node.integer("threads", 2, 1, 64);
        FAIL("an error was expected");
    } catch (const UserError &e) {
        CHECK(std::string(e.what())
              == "entry.yaml:1:1: key 'threads': expected an integer from 1 to 64, found 'many'. "
                 "Fix: write an integer from 1 to 64");
    }
}

// Guards against a mistyped key that is ignored in favour of the default.
TEST_CASE("an unknown key is an error", "[settings]")
{
    auto node = SettingsNode::parse("entry.yaml", "thread: 2\n").value();
    (void)node.integer("threads", 2, 1, 64);
    CHECK_THROWS_AS(node.checkNoUnknownKeys(), UserError);
}
