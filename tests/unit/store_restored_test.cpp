/** @file store_restored_test.cpp Tests of a store that comes back from an older copy. */

#include "sidecar_fleet_fake.h"
#include "store/object_mirror_base.h"
#include "store/store_era_base.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
constexpr clock_ms applyBound{2'000}; ///< From the acknowledgement of a configuration until it is in force.
constexpr clock_ms returnBound{2'000}; ///< From the return of the store until what live hosts had written is back.

/** Raises the store's cursor by changes that no host reads. */
void writeOthers(fake_platform &platform, int count)
{
    for (int number = 0; number < count; ++number) {
        platform.write("other", "object", std::to_string(number));
    }
}

/** The store goes away, comes back from its copy, and has the operator's work written again before the hosts reach it. */
void comeBackWith(sidecar_fleet &fleet, const std::function<void()> &writtenAgain)
{
    fleet.platform.isDown = true;
    fleet.runFor(clock_ms{100}); // Until each watch has ended.
    fleet.platform.restore();
    writtenAgain();
    fleet.platform.isDown = false;
}
} // namespace

// A watch went on from a cursor of the time before, and what had been written under the same numbers again was never seen.
TEST_CASE("a configuration that is written under numbers that the store gives out again is in force in time (CONFIG)")
{
    two_hosts hosts(true);
    auto &[fleet, entry, target] = hosts;
    fleet.platform.save();
    fleet.configure(makeRoutes(5, {"feebox"}, true, 2));
    writeOthers(fleet.platform, 10);
    fleet.configure(makeRoutes(6, {"feebox"}, true, 2));
    fleet.runFor(clock_ms{200});
    comeBackWith(fleet, [&fleet = fleet] {
        fleet.configure(makeRoutes(8, {"feebox", "mapview"}, true, 2));
        writeOthers(fleet.platform, 20);
    });
    fleet.runFor(applyBound);
    CHECK(fleet.call(entry, "/mapview/").message.status == 503); // 404 by the older ones.
    CHECK(fleet.call(target, "/mapview/").message.status == 503);
}

// A sidecar took its record for stored, and after a restart the server that had left was used again.
TEST_CASE("a departure is recorded again after the store has come back without it (DRAIN)")
{
    for (const bool restartsBefore : {false, true}) {
        CAPTURE(restartsBefore);
        two_hosts hosts(false);
        auto &[fleet, entry, target] = hosts;
        fleet.platform.save();
        fleet.beat(target, "i-1", 4, "draining");
        REQUIRE(fleet.platform.holds("cicadamux-departures", "host-2"));
        if (restartsBefore) {
            fleet.restart(target);
            fleet.runFor(clock_ms{300});
        }
        comeBackWith(fleet, [] {});
        CHECK_FALSE(fleet.platform.holds("cicadamux-departures", "host-2"));
        fleet.runFor(returnBound);
        CHECK(fleet.platform.holds("cicadamux-departures", "host-2"));
        fleet.restart(target);
        fleet.beat(target, "i-1", 4); // A late heartbeat from before the departure.
        REQUIRE(fleet.ready());
        CHECK(fleet.call(target, "/feebox/").message.status == 503);
        CHECK(target.served.empty());
    }
}

// A listing that lacked a live host ended the link to it, and with it the requests under way.
TEST_CASE("a request at a host that joined after the copy was made is answered when the store comes back (LOST)")
{
    two_hosts hosts(false);
    auto &[fleet, entry, target] = hosts;
    fleet.beat(target, "i-1", 4, "gone");
    fleet.platform.save();
    std::vector<std::shared_ptr<test::http_exchange>> held;
    sidecar_host &joined = fleet.add("feebox", [&held](const std::shared_ptr<test::http_exchange> &exchange) {
        held.push_back(exchange);
    });
    fleet.beat(joined, "i-9", 4);
    REQUIRE(fleet.ready());
    REQUIRE(fleet.eventually([&, &fleet = fleet, &entry = entry] {
        const auto probe = fleet.send(entry, "/feebox/", clock_ms{5'000});
        fleet.runFor(clock_ms{200});
        return !held.empty();
    }));
    const auto during = fleet.send(entry, "/feebox/", clock_ms{5'000});
    const std::size_t before = held.size();
    REQUIRE(fleet.eventually([&] {
        return held.size() > before;
    }));
    fleet.platform.refusesWrites = true; // All hosts list before the joined one has written its entry again.
    comeBackWith(fleet, [] {});
    fleet.runFor(clock_ms{600});
    fleet.platform.refusesWrites = false;
    fleet.runFor(returnBound);
    CHECK(fleet.platform.holds("cicadamux-hosts", "host-3"));
    held.back()->answer(sidecar_fleet::goodAnswer(held.back()->request()));
    fleet.runFor(clock_ms{100});
    REQUIRE(during->has_value());
    CHECK((*during)->message.status == 200);
}

TEST_CASE("a host that starts while the store holds an older copy takes the newer configuration from the others (CONFIG)")
{
    two_hosts hosts(true);
    auto &[fleet, entry, target] = hosts;
    fleet.platform.save();
    fleet.configure(makeRoutes(5, {"feebox", "mapview"}, true, 2));
    REQUIRE(fleet.eventually([&fleet = fleet, &entry = entry] {
        return fleet.call(entry, "/mapview/").message.status == 503;
    }));
    comeBackWith(fleet, [] {});
    fleet.runFor(clock_ms{200});
    CHECK(fleet.call(entry, "/mapview/").message.status == 503); // Not taken back.
    fleet.restart(target);
    REQUIRE(fleet.ready());
    fleet.runFor(applyBound);
    CHECK(fleet.call(target, "/mapview/").message.status == 503);
}

// A host that had joined after the copy was made found no entry of its own, took itself for new and read no record.
TEST_CASE("a restarted host whose entry the store has lost still reads its departure record (DRAIN)")
{
    holding_host host(4); // No other host remembers the departure.
    auto &[fleet, held, entry] = host;
    fleet.beat(entry, "i-1", 4, "draining");
    REQUIRE(fleet.platform.holds("cicadamux-departures", entry.name));
    entry.running->stop();
    fleet.platform.erase("cicadamux-hosts", entry.name);
    fleet.restart(entry);
    fleet.runFor(clock_ms{300});
    fleet.beat(entry, "i-1", 4);
    fleet.runFor(clock_ms{2'100}); // Until it is ready although it knows no host that serves.
    CHECK(fleet.call(entry, "/feebox/").message.status == 503);
    CHECK(held.empty());
}

// After a refused watch and a refused list the mirror went on from the old cursor, past the changes in between.
TEST_CASE("a mirror that has to list again doesn't go on from its old cursor when the list fails")
{
    boost::asio::io_context context;
    fake_platform platform(context);
    platform.refusesUnknownCursors = true;
    platform.write("kind", "name", "1");
    platform.save();
    writeOthers(platform, 10);
    std::string seen;
    object_mirror_settings settings;
    settings.kind = "kind";
    const auto mirror = std::make_shared<object_mirror>(
        context,
        platform,
        settings,
        [&seen](const std::map<std::string, stored_object> &objects) {
            seen = objects.at("name").value;
        },
        threadRandom);
    mirror->start();
    context.run_for(std::chrono::milliseconds(100));
    REQUIRE(seen == "1");
    platform.restore();
    platform.failingLists = 1;
    for (int step = 0; step < 100 && platform.failingLists > 0; ++step) { // The waiting watch ends; the next one is refused, and so is the list.
        context.run_for(std::chrono::milliseconds(10));
    }
    REQUIRE(platform.failingLists == 0);
    platform.write("kind", "name", "2");
    writeOthers(platform, 20);
    context.run_for(std::chrono::milliseconds(2'000));
    CHECK(seen == "2");
    mirror->stop();
}

namespace
{
/** A store whose watches violate the protocol, as by a cursor that has gone back. */
class faulty_watch_store : public fake_platform
{
public:
    using fake_platform::fake_platform;

    void watch(std::string_view, std::uint64_t, clock_ms, store_handler<store_changes> handler) override
    {
        handler({store_failure::bad_answer, 0, {}});
    }
};
} // namespace

// A daemon's mirror kept asking for changes since a cursor that its store no longer had.
TEST_CASE("a mirror lists again after an answer to its watch that violates the protocol")
{
    boost::asio::io_context context;
    faulty_watch_store store(context);
    store.write("kind", "name", "1");
    std::string seen;
    object_mirror_settings settings;
    settings.kind = "kind";
    const auto mirror = std::make_shared<object_mirror>(
        context,
        store,
        settings,
        [&seen](const std::map<std::string, stored_object> &objects) {
            seen = objects.at("name").value;
        },
        threadRandom);
    mirror->start();
    context.run_for(std::chrono::milliseconds(20));
    CHECK(seen == "1");
    store.write("kind", "name", "2");
    context.restart();
    context.run_for(std::chrono::milliseconds(1'000));
    CHECK(seen == "2");
    mirror->stop();
}

TEST_CASE("an era rises when the store comes back and malformed values change nothing")
{
    store_era era;
    const auto observe = [&era](std::string_view text) {
        return static_cast<int>(era.observe(text));
    };
    constexpr int none = static_cast<int>(era_change::none);
    constexpr int restored = static_cast<int>(era_change::restored);
    constexpr int outdated = static_cast<int>(era_change::outdated);
    CHECK(observe("") == none);
    CHECK(observe("0") == none); // The first one says nothing.
    CHECK(observe("1") == restored);
    for (const std::string text : {"", "-2", "+2", "2 ", "2.0", "two", "0x2", "18446744073709551615", "99999999999999999999", "2,3"}) {
        CAPTURE(text);
        CHECK(observe(text) == none);
    }
    CHECK(observe("4") == restored); // Two returns went unseen.
    CHECK(observe("3") == outdated);
    CHECK(observe("4") == none);
    store_era misled;
    misled.observe("1000000000");
    CHECK(static_cast<int>(misled.observe("7")) == restored); // The first value was malformed.
    CHECK(misled.current() == 7U);
}
