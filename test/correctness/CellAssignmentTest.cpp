/// @file Assignment of cells to holders, and of instances to cells.
#include "CellAssignment.h"
#include "CellMap.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Camphor;

namespace {

/// Entries and grants of two domains, with the leader's clock.
struct World
{
    std::vector<std::string> domains{"north", "south"};
    std::map<std::string, EntryContact> contacts;
    std::map<std::string, CellGrant> grants;
    Milliseconds now{10'000};
    std::uint64_t lastToken = 0;
    CellAssignmentSettings settings;

    void recordContact(const std::string &name, const std::string &domain,
                       std::uint64_t incarnation = 1, std::uint32_t instances = 10)
    {
        contacts[name] = {
            {name, domain, "127.0.0.1:1", incarnation}, now, {}, false, instances, Milliseconds{0}};
    }

    [[nodiscard]] std::optional<GrantCellCommand> next() const
    {
        return nextGrant(domains, contacts, grants, Milliseconds{0}, now, settings);
    }

    /// Applies all changes that are due. @return how many there were.
    int applyDueGrants()
    {
        int changes = 0;
        while (const auto command = next()) {
            auto grant = command->next;
            grant.token = ++lastToken;
            grants[grant.name()] = grant;
            REQUIRE(++changes < 100);
        }
        return changes;
    }
};

} // namespace

TEST_CASE("cells go to entries of their own domain, evenly", "[cells]")
{
    World world;
    for (const auto *name : {"n1", "n2", "n3"})
        world.recordContact(name, "north", 1, 60);
    world.recordContact("s1", "south");
    CHECK(world.applyDueGrants() == 4);
    std::set<std::string> holders;
    for (const auto &[name, grant] : world.grants) {
        CHECK(world.contacts.at(grant.holder).entry.domain == grant.domain);
        holders.insert(grant.holder);
    }
    CHECK(holders.size() == 4);
    CHECK(world.applyDueGrants() == 0);
}

TEST_CASE("cells go to entries in proportion to their processors", "[cells]")
{
    // The load: entries with a third of the processor of others serve as many cells, so that theirs
    // fall behind at each peak.
    World world;
    for (const auto *name : {"large", "small1", "small2"})
        world.recordContact(name, "north", 1, 160);
    world.contacts.at("large").cpuShare = 0.3;
    world.contacts.at("small1").cpuShare = 0.09;
    world.contacts.at("small2").cpuShare = 0.09;
    world.domains = {"north"};
    CHECK(world.applyDueGrants() == static_cast<int>(cellCountFor(160)));
    std::map<std::string, int> cells;
    for (const auto &[name, grant] : world.grants)
        ++cells[grant.holder];
    CHECK(cells["large"] >= 3 * std::max(cells["small1"], cells["small2"]));
    CHECK(cells["small1"] + cells["small2"] + cells["large"]
          == static_cast<int>(world.grants.size()));
}

TEST_CASE("a first division waits until instances have reported", "[cells]")
{
    World world;
    world.now = Milliseconds{2'000};
    world.recordContact("n1", "north");
    CHECK_FALSE(world.next());
    world.now = Milliseconds{2'600};
    world.recordContact("n1", "north");
    CHECK(world.next());
}

TEST_CASE("a first division waits until the number of instances has settled", "[cells]")
{
    // Guards against cells that are almost twice as large as one entry can serve, for good: the
    // first division was made when little more than half of the instances had reported.
    World world;
    const auto divideAt = [&](double ms, std::uint32_t instances, double changedAt) {
        world.now = Milliseconds{ms};
        world.recordContact("n1", "north", 1, instances);
        world.contacts.at("n1").instancesSince = Milliseconds{changedAt};
        world.recordContact("n2", "north", 1, 0); // An entry that knows none yet.
        return world.next();
    };
    CHECK_FALSE(divideAt(2'600, 60, 2'500));
    CHECK_FALSE(divideAt(4'000, 100, 3'900));
    const auto settled = divideAt(6'000, 108, 4'200);
    REQUIRE(settled);
    CHECK(settled->next.cellCount == cellCountFor(108));
    // Instances that come and go all the time do not keep a domain without holders.
    CHECK(divideAt(7'100, 109, 7'000));
}

TEST_CASE("when a holder is replaced", "[cells]")
{
    World world;
    world.recordContact("n1", "north");
    world.recordContact("n2", "north");
    world.recordContact("s1", "south");
    (void)world.applyDueGrants();
    const auto holder = world.grants.at("north/0").holder;
    const std::string other = holder == "n1" ? "n2" : "n1";
    world.now += Milliseconds{1'000};
    world.recordContact(other, "north");
    world.recordContact("s1", "south");

    SECTION("it is unreachable")
    {
        REQUIRE(world.next());
        CHECK(world.next()->next.holder == other);
        CHECK(world.next()->expectedToken == world.grants.at("north/0").token);
    }
    SECTION("it is unreachable for the leader, but another entry has contact with it: it stays")
    {
        world.contacts.at(other).reachableHolders = {holder};
        CHECK_FALSE(world.next());
    }
    SECTION("it has restarted: it is replaced at once, also by a new leader")
    {
        world.recordContact(holder, "north", 2);
        const auto command = nextGrant(world.domains, world.contacts, world.grants,
                                       world.now - Milliseconds{50}, world.now, world.settings);
        REQUIRE(command);
        CHECK(command->next.domain == "north");
    }
    SECTION("it is unreachable for a leader that has just been elected: it is not replaced yet")
    {
        CHECK_FALSE(nextGrant(world.domains, world.contacts, world.grants,
                              world.now - Milliseconds{500}, world.now, world.settings));
    }
    SECTION("it leaves")
    {
        world.recordContact(holder, "north");
        world.contacts.at(holder).isLeaving = true;
        REQUIRE(world.next());
        CHECK(world.next()->next.holder == other);
    }
}

TEST_CASE("a partitioned domain keeps its holder, and gets its cells back after a long loss",
          "[cells]")
{
    World world;
    world.recordContact("n1", "north");
    world.recordContact("s1", "south");
    (void)world.applyDueGrants();
    world.now += Milliseconds{5'500};
    world.recordContact("s1", "south");
    CHECK_FALSE(world.next());
    world.now += Milliseconds{6'000};
    world.recordContact("s1", "south");
    REQUIRE(world.next());
    CHECK(world.next()->next.holder == "s1");
    (void)world.applyDueGrants();
    world.recordContact("n1", "north");
    REQUIRE(world.next());
    CHECK(world.next()->next.holder == "n1");
}

TEST_CASE("a domain is divided again only when it has doubled", "[cells]")
{
    World world;
    world.recordContact("n1", "north", 1, 40);
    world.recordContact("n2", "north", 1, 40);
    world.domains = {"north"};
    CHECK(world.applyDueGrants() == 2);
    world.recordContact("n1", "north", 1, 60);
    CHECK(world.applyDueGrants() == 0);
    world.recordContact("n1", "north", 1, 90);
    world.recordContact("n2", "north", 1, 90);
    CHECK(world.applyDueGrants() > 0);
    CHECK(CellMap(world.grants).cells("north").size() == 5);
}

TEST_CASE("every instance belongs to exactly one cell of its domain", "[cells]")
{
    std::map<std::string, CellGrant> grants;
    for (std::uint32_t cell = 0; cell < 4; ++cell) {
        const CellGrant grant{"north", cell, 4, "entry", "127.0.0.1:1", 1, cell + 1};
        grants[grant.name()] = grant;
    }
    const CellMap map(grants);
    std::map<std::uint32_t, int> sizes;
    for (int n = 0; n < 400; ++n) {
        InstanceReport report;
        report.key.id = "worker-" + std::to_string(n);
        report.domain = "north";
        const auto *grant = map.grantOf(report);
        REQUIRE(grant != nullptr);
        ++sizes[grant->cell];
    }
    CHECK(sizes.size() == 4);
    InstanceReport elsewhere;
    elsewhere.domain = "south";
    CHECK(map.grantOf(elsewhere) == nullptr);
}

TEST_CASE("cells of an earlier division have no instances", "[cells]")
{
    std::map<std::string, CellGrant> grants;
    const CellGrant old{"north", 1, 2, "entry", "127.0.0.1:1", 1, 1};
    const CellGrant present{"north", 0, 1, "entry", "127.0.0.1:1", 1, 2};
    grants[old.name()] = old;
    grants[present.name()] = present;
    CHECK(CellMap(grants).cells("north").size() == 1);
}

TEST_CASE("after a restart of all holders every cell is granted at once", "[cells]")
{
    // Guards against a recovery that takes one synced write after another, cell by cell.
    World world;
    for (const auto *name : {"n1", "n2", "n3"})
        world.recordContact(name, "north", 1, 60);
    world.recordContact("s1", "south");
    CHECK(world.applyDueGrants() == 4);
    for (auto &[name, contact] : world.contacts)
        contact.entry.incarnation = 2;
    const auto due = dueGrants(world.domains, world.contacts, world.grants, world.now, world.now,
                               world.settings);
    CHECK(due.size() == 4);
    std::set<std::string> cells;
    std::set<std::string> holders;
    for (const auto &command : due) {
        CHECK(cells.insert(command.next.name()).second);
        CHECK(command.expectedToken == world.grants.at(command.next.name()).token);
        CHECK(command.next.incarnation == 2);
        holders.insert(command.next.holder);
    }
    CHECK(holders.size() == 4);
}

TEST_CASE("all due changes together equal those that are made one by one", "[cells]")
{
    World world;
    for (const auto *name : {"n1", "n2", "n3"})
        world.recordContact(name, "north", 1, 60);
    world.recordContact("s1", "south");
    const auto due =
        dueGrants(world.domains, world.contacts, {}, Milliseconds{0}, world.now, world.settings);
    CHECK(static_cast<int>(due.size()) == world.applyDueGrants());
    for (const auto &command : due)
        CHECK(world.grants.at(command.next.name()).holder == command.next.holder);
    CHECK(dueGrants(world.domains, world.contacts, world.grants, Milliseconds{0}, world.now,
                    world.settings)
              .empty());
}
