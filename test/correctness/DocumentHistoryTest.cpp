/// @file Differences between versions of a large configuration.
#include "DocumentHistory.h"
#include "Wire.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Camphor;

namespace {

std::string makeText(std::size_t queues, std::uint64_t version, std::size_t changedQueue)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::size_t n = 0; n < queues; ++n) {
        text += R"({"name":"r-)" + std::to_string(n) + R"(","timeout_ms":)"
            + std::to_string(n == changedQueue ? version : 1'500) + "},";
    }
    return text + "]}";
}

/// What an entry that holds a text has after the reply.
std::string applied(const std::string &held, const FetchDocumentReply &reply)
{
    return reply.baseVersion == 0 ? reply.content : applyDelta(held, reply.delta).value();
}

} // namespace

TEST_CASE("a change of one queue among thousands costs few bytes", "[document]")
{
    DocumentHistory history;
    const auto first = makeText(2'000, 3, 0);
    const auto second = makeText(2'000, 12, 1'234);
    history.add(3, first);
    history.add(12, second);
    const auto reply = history.replyTo({3});
    CHECK(reply.version == 12);
    CHECK(applied(first, reply) == second);
    CHECK(encodeMessage(reply).size() * 20 < second.size());
}

TEST_CASE("an entry gets the whole text if its version is unknown or unlike", "[document]")
{
    DocumentHistory history;
    CHECK(history.replyTo({0}).version == 0);
    for (std::uint64_t version = 1; version <= 20; ++version)
        history.add(version, std::string(1'000, static_cast<char>('a' + version)));
    for (const std::uint64_t held : {0, 1, 19}) {
        CAPTURE(held);
        const auto reply = history.replyTo({held});
        CHECK(reply.version == 20);
        CHECK(reply.baseVersion == 0);
        CHECK(reply.content == std::string(1'000, static_cast<char>('a' + 20)));
    }
    CHECK(history.replyTo({20}).version == 0);
    CHECK(history.replyTo({21}).version == 0);
    history.add(7, "older");
    CHECK(history.replyTo({0}).version == 20);
}

TEST_CASE("a delta rebuilds any text, and only from its own base", "[document][generated]")
{
    const auto seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    const auto randomText = [&](std::size_t length) {
        std::string text;
        for (std::size_t n = 0; n < length; ++n)
            text.push_back(static_cast<char>('a' + random() % 4));
        return text;
    };
    const auto base = randomText(random() % 3'000);
    auto text = base;
    for (int n = 0; n < seed % 6; ++n) {
        const auto from = random() % (text.size() + 1);
        text = text.substr(0, from) + randomText(random() % 50)
            + text.substr(std::min(text.size(), from + random() % 200));
    }
    const auto delta = makeDelta(base, text);
    CHECK(applyDelta(base, delta).value() == text);
    if (base != text && !base.empty()) {
        auto forged = delta;
        forged.steps.push_back({base.size(), 1, {}});
        CHECK_FALSE(applyDelta(base, forged));
        CHECK_FALSE(applyDelta(base + "x", TextDelta{delta.steps, delta.textHash + 1}));
    }
}
