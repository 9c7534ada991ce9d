/// @file Which task is at fault when instances are lost.
#include "CrashHistory.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

InstanceLoss lossOf(const std::string &instance, std::vector<std::string> tasks)
{
    return {{instance, 1'000}, std::move(tasks)};
}

} // namespace

TEST_CASE("a task is at fault after two losses, one of them alone, or after three", "[crash]")
{
    // Guards against a task that crashes one instance after the other, and against one that is
    // given up because it ran beside such a task.
    CrashHistory history;
    const Milliseconds now{0};
    CHECK(history.suspicion("a") == TaskSuspicion::None);
    CHECK(history.add(lossOf("w1", {"a", "b"}), now));
    CHECK(history.suspicion("a") == TaskSuspicion::Suspect);
    CHECK(history.suspicion("b") == TaskSuspicion::Suspect);
    CHECK(history.add(lossOf("w2", {"a"}), now));
    CHECK(history.suspicion("a") == TaskSuspicion::AtFault);
    CHECK(history.suspicion("b") == TaskSuspicion::Suspect);
    CHECK(history.add(lossOf("w3", {"b", "c"}), now));
    CHECK(history.suspicion("b") == TaskSuspicion::StrongSuspect);
    CHECK(history.add(lossOf("w4", {"b", "d"}), now));
    CHECK(history.suspicion("b") == TaskSuspicion::AtFault);
    CHECK(history.suspicion("c") == TaskSuspicion::Suspect);
}

TEST_CASE("a loss that is heard of again counts once", "[crash]")
{
    CrashHistory history;
    CHECK(history.add(lossOf("w1", {"a"}), Milliseconds{0}));
    CHECK_FALSE(history.add(lossOf("w1", {"a"}), Milliseconds{1}));
    CHECK_FALSE(history.add(lossOf("w2", {}), Milliseconds{1}));
    CHECK(history.suspicion("a") == TaskSuspicion::Suspect);
    CHECK(history.addedSince(0) == std::vector{lossOf("w1", {"a"})});
    CHECK(history.add(lossOf("w3", {"c", "b", "c"}), Milliseconds{2}));
    CHECK_FALSE(history.add(lossOf("w3", {"b", "c"}), Milliseconds{2}));
    CHECK(history.suspicion("c") == TaskSuspicion::Suspect);
    CHECK(history.add(lossOf("w3", {"d"}), Milliseconds{3}));
    CHECK(history.addedSince(history.revision()).empty());
}

TEST_CASE("losses are forgotten after their retention, and the oldest at the limit", "[crash]")
{
    CrashHistory history({Milliseconds{100}, 2});
    history.add(lossOf("w1", {"a"}), Milliseconds{0});
    history.add(lossOf("w2", {"a"}), Milliseconds{50});
    history.add(lossOf("w3", {"b"}), Milliseconds{60});
    CHECK(history.suspicion("a") == TaskSuspicion::Suspect);
    CHECK(history.addedSince(0).size() == 2);
    history.evict(Milliseconds{155});
    CHECK(history.suspicion("a") == TaskSuspicion::None);
    CHECK(history.suspicion("b") == TaskSuspicion::Suspect);
}
