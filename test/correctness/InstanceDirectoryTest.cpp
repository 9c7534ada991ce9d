/// @file Reports of instances, as control instances receive them and entries merge them.
#include "InstanceDirectory.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

constexpr Milliseconds ContactTimeout{5'000};

InstanceReport makeReport(std::uint64_t sequence, std::uint64_t startTimeMs = 1'000)
{
    InstanceReport report;
    report.key = {"worker-1", startTimeMs};
    report.sequence = sequence;
    report.service = "service";
    report.address = "127.0.0.1:1";
    report.domain = "north";
    return report;
}

InstanceReport withState(InstanceReport report, InstanceState state)
{
    report.state = state;
    return report;
}

} // namespace

TEST_CASE("only changes that matter are passed on", "[directory]")
{
    InstanceDirectory directory(ContactTimeout);
    CHECK(directory.report(makeReport(1), Milliseconds{0}));
    CHECK_FALSE(directory.report(makeReport(2), Milliseconds{1'500}));
    CHECK(directory.report(withState(makeReport(3), InstanceState::Draining), Milliseconds{3'000}));
    CHECK(directory.changesSince(1).size() == 1);
    CHECK(directory.changesSince(directory.revision()).empty());
}

TEST_CASE("late and reordered reports change nothing", "[directory]")
{
    struct Row
    {
        const char *what;
        InstanceReport late;
    };
    const auto row =
        GENERATE(Row{"an earlier report of this incarnation", makeReport(4)},
                 Row{"the same report again", makeReport(5)},
                 Row{"a higher number of an earlier incarnation", makeReport(90, 500)});
    CAPTURE(row.what);
    InstanceDirectory directory(ContactTimeout);
    (void)directory.report(withState(makeReport(5), InstanceState::Draining), Milliseconds{0});
    CHECK_FALSE(directory.report(row.late, Milliseconds{1}));
    CHECK(directory.changesSince(0).front().state == InstanceState::Draining);
}

TEST_CASE("a later incarnation replaces an earlier one, whatever its sequence numbers",
          "[directory]")
{
    InstanceDirectory directory(ContactTimeout);
    (void)directory.report(makeReport(50), Milliseconds{0});
    CHECK(directory.report(makeReport(1, 2'000), Milliseconds{1}));
    CHECK(directory.changesSince(0).front().key.startTimeMs == 2'000);
}

TEST_CASE("an instance that left is not revived by a delayed report", "[directory]")
{
    InstanceDirectory directory(ContactTimeout);
    (void)directory.report(makeReport(5), Milliseconds{0});
    CHECK(directory.leave("worker-1", 1'000, Milliseconds{1}));
    CHECK_FALSE(directory.report(makeReport(6), Milliseconds{2}));
    CHECK(directory.changesSince(0).front().state == InstanceState::Gone);
    CHECK(directory.report(makeReport(1, 2'000), Milliseconds{3}));
}

TEST_CASE("the leave of an earlier incarnation does not remove the current one", "[directory]")
{
    InstanceDirectory directory(ContactTimeout);
    (void)directory.report(makeReport(1, 2'000), Milliseconds{0});
    CHECK_FALSE(directory.leave("worker-1", 1'000, Milliseconds{1}));
}

TEST_CASE("an instance without reports is gone until it reports again", "[directory]")
{
    InstanceDirectory directory(ContactTimeout);
    (void)directory.report(makeReport(1), Milliseconds{0});
    CHECK_FALSE(directory.expire(ContactTimeout - Milliseconds{1}));
    CHECK(directory.expire(ContactTimeout));
    CHECK(directory.report(makeReport(2), ContactTimeout + Milliseconds{1}));
}

TEST_CASE("a timeout at one member does not hide newer reports at another", "[directory]")
{
    // The instance reported to member A, moved to B, and came back to A. B receives no more reports
    // and marks it as gone with a sequence number that is lower than A's newest one.
    InstanceDirectory a(ContactTimeout);
    InstanceDirectory b(ContactTimeout);
    InstanceView view;
    const auto passOn = [&](const InstanceDirectory &from) {
        for (const auto &report : from.changesSince(0))
            (void)view.merge(report, Milliseconds{0});
    };
    (void)a.report(makeReport(1), Milliseconds{0});
    passOn(a);
    (void)b.report(makeReport(2), Milliseconds{1'500});
    passOn(b);
    CHECK(a.report(makeReport(3), Milliseconds{3'000})); // A gap in the sequence is passed on.
    passOn(a);
    CHECK(b.expire(Milliseconds{7'000}));
    passOn(b);
    CHECK(view.instances().at("worker-1").state == InstanceState::Ready);
}

TEST_CASE("a gone instance is not revived by a member that restarted with an older report",
          "[directory]")
{
    // Guards against an entry that has just started, hears first that the instance left and then
    // the report that the other member has restored from its disk.
    InstanceView view;
    const auto gone = withState(makeReport(9), InstanceState::Gone);
    CHECK_FALSE(view.merge(gone, Milliseconds{0}));
    CHECK_FALSE(view.merge(makeReport(7), Milliseconds{10}));
    CHECK(view.instances().at("worker-1").state == InstanceState::Gone);
    CHECK(view.merge(makeReport(1, 2'000), Milliseconds{20})); // A later incarnation.
    CHECK(view.instances().at("worker-1").state == InstanceState::Ready);
}

TEST_CASE("a view evicts instances that have been gone for long, and only those", "[directory]")
{
    // Guards against a view that grows with every instance that is ever replaced.
    const Milliseconds hour{3'600'000};
    const auto gone = withState(makeReport(2), InstanceState::Gone);
    struct Case
    {
        const char *name;
        std::vector<InstanceReport> reports; // All received at the time 0.
        Milliseconds askedAt;
        std::size_t left;
    };
    const auto row = GENERATE_COPY(values<Case>(
        {{"ready instances stay", {makeReport(1)}, hour, 1},
         {"a gone one is evicted after a while", {makeReport(1), gone}, hour, 0},
         {"but not before late reports of it have arrived",
          {makeReport(1), gone},
          Milliseconds{60'000},
          1},
         {"one that came back stays", {makeReport(1), gone, makeReport(3)}, hour, 1},
         {"one that has restarted stays", {makeReport(1), gone, makeReport(1, 2'000)}, hour, 1}}));
    CAPTURE(row.name);
    InstanceView view;
    for (const auto &report : row.reports)
        (void)view.merge(report, Milliseconds{0});
    const auto before = view.instances().size();
    CHECK(view.evictGone(row.askedAt) == (row.left < before));
    CHECK(view.instances().size() == row.left);
}
