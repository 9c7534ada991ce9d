/// @file Contacts of entries whose processes restart, while the time of day may go back.
#include "EntryContacts.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

using Change = EntryContacts::Change;

EntryContact contactAt(double ms, std::uint64_t incarnation, std::uint32_t instances = 0)
{
    const Milliseconds at{ms};
    return {{"entry", "north", "127.0.0.1:1", incarnation}, at, {}, false, instances, at};
}

} // namespace

TEST_CASE("a delayed request of an earlier process changes nothing", "[control]")
{
    EntryContacts contacts;
    CHECK(contacts.update(contactAt(0, 10)) == Change::NewProcess);
    CHECK(contacts.update(contactAt(100, 10)) == Change::None);
    CHECK(contacts.update(contactAt(200, 11)) == Change::NewProcess);
    CHECK(contacts.update(contactAt(300, 10)) == Change::Superseded);
    CHECK(contacts.entries().at("entry").entry.incarnation == 11);
}

TEST_CASE("an entry that restarts after its time of day went back is heard again", "[control]")
{
    // Guards against an entry that is locked out until its time of day has caught up.
    EntryContacts contacts;
    (void)contacts.update(contactAt(0, 10'000));
    Change change = Change::Superseded;
    for (double ms = 500; ms < 5'000 && change == Change::Superseded; ms += 300)
        change = contacts.update(contactAt(ms, 7'000));
    CHECK(change == Change::NewProcess);
    CHECK(contacts.entries().at("entry").entry.incarnation == 7'000);
}

TEST_CASE("a contact tells since when the number of instances has not changed", "[control]")
{
    EntryContacts contacts;
    const auto since = [&] { return contacts.entries().at("entry").instancesSince; };
    (void)contacts.update(contactAt(0, 1, 5));
    (void)contacts.update(contactAt(300, 1, 5));
    CHECK(since() == Milliseconds{0});
    (void)contacts.update(contactAt(600, 1, 6));
    (void)contacts.update(contactAt(900, 1, 6));
    CHECK(since() == Milliseconds{600});
}

TEST_CASE("entries that were replaced are evicted, others stay", "[control]")
{
    EntryContacts contacts;
    (void)contacts.update(contactAt(0, 10));
    contacts.evictSilent(Milliseconds{30'000});
    CHECK(contacts.entries().size() == 1);
    contacts.evictSilent(Milliseconds{3'600'000});
    CHECK(contacts.entries().empty());
}
