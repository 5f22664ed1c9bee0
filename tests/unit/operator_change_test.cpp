/** @file operator_change_test.cpp Tests of changes with lost replies, stale reads, concurrent changes and an unreachable platform. */

#include "operator_fleet_fake.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using test::operators::fake_fleet;
using test::operators::platform_fault;

namespace
{
struct change_fixture {
    fake_fleet fleet;

    change_fixture()
    {
        fleet.add("host-a1", "tbs-1", "pitchdesk");
    }

    std::vector<stored_object> &ranks()
    {
        return fleet.platform.history[{"rank_table", "default"}];
    }

    /** Sets the faults of the next calls to the platform; later calls succeed. */
    void setFaults(std::vector<platform_fault> faults)
    {
        fleet.platform.nextFault = [faults = std::move(faults), next = std::size_t{0}]() mutable {
            return next < faults.size() ? faults[next++] : platform_fault::none;
        };
    }

    /** Writes a change of the rank `late-ok` by another operator. */
    void writeRival(double effort, const std::string &operationId)
    {
        rank_table table = parseRankTable(ranks().back().value);
        ++table.generation;
        table.operationId = operationId;
        table.ranks[1].effort = effort;
        fleet.platform.write("rank_table", "default", formatRankTable(table));
    }
};

bool is(const query_result &result, query_status status)
{
    return result.status == status;
}
} // namespace

TEST_CASE_FIXTURE(change_fixture, "a change is shown, written once with the next generation, and offered at once")
{
    const query_result result = fleet.run("set rank browse effort 5");
    CHECK(is(result, query_status::accepted));
    REQUIRE(result.differences.size() == 1);
    CHECK(result.differences[0].path == "ranks[browse].effort");
    REQUIRE(ranks().size() == 2);
    const rank_table written = parseRankTable(ranks().back().value);
    CHECK(written.generation == 4);
    CHECK(written.ranks[2].effort == doctest::Approx(5));
    CHECK(result.change->operationId == written.operationId);
    CHECK(fleet.offers == 1);
}

TEST_CASE_FIXTURE(change_fixture, "a preview, a faulty change, an unknown name and a change of nothing write nothing")
{
    CHECK(is(fleet.run("preview set rank browse effort 5"), query_status::ok));
    CHECK(is(fleet.run("set rank browse effort 10"), query_status::ok));
    CHECK(is(fleet.run("set rank nosuch effort 5"), query_status::not_found));
    CHECK(is(fleet.run("set operation pitchdesk/nosuch retries 1"), query_status::not_found));
    const query_result faulty = fleet.run("set operation pitchdesk/hold retries 17");
    CHECK(is(faulty, query_status::refused));
    CHECK(faulty.faults.at(0).path == "operations[0].retries");
    CHECK(is(fleet.run("set operation pitchdesk/hold rank ugrent"), query_status::refused));
    CHECK(is(fleet.run("set operation pitchdesk/hold rank browse from generation 1"), query_status::conflict));
    CHECK(is(fleet.run("replace ranks {\"ranks\":[]}"), query_status::refused));
    CHECK(fleet.platform.writes() == 3);
}

TEST_CASE_FIXTURE(change_fixture, "several faults between objects come at once")
{
    fleet.run("set operation pitchdesk/hold at-most-once no");
    auto desk = parseServicePolicy(fleet.platform.history[{"service_policy", "pitchdesk"}].back().value);
    fleet.policies = fleet.policies->withService(desk);
    const query_result result = fleet.run("set operation pitchdesk/hold retries 2");
    CHECK(is(result, query_status::refused));
    CHECK(result.faults.at(0).path == "pitchdesk.operations[0].passes_through[0]");
}

TEST_CASE_FIXTURE(change_fixture, "a lost answer is settled by the operation id")
{
    setFaults({platform_fault::none, platform_fault::reply_lost});
    CHECK(is(fleet.run("set rank browse effort 5"), query_status::accepted));
    CHECK(ranks().size() == 2);
    setFaults({platform_fault::none, platform_fault::request_lost});
    CHECK(is(fleet.run("set rank browse effort 6"), query_status::accepted));
    CHECK(ranks().size() == 3);
}

TEST_CASE_FIXTURE(change_fixture, "a race ends in a conflict that names the other change")
{
    bool raced = false;
    fleet.platform.nextFault = [&, calls = 0]() mutable {
        if (++calls == 2 && !raced) {
            raced = true;
            writeRival(7, "rival-1");
        }
        return platform_fault::none;
    };
    const query_result result = fleet.run("set rank browse effort 5");
    CHECK(is(result, query_status::conflict));
    REQUIRE(result.other.has_value());
    CHECK(result.other->operationId == "rival-1");
    CHECK(result.other->generation == 4);
    CHECK(ranks().size() == 2);
}

TEST_CASE_FIXTURE(change_fixture, "a stale read is no race, and never brings back an older object")
{
    writeRival(7, "rival-1");
    setFaults({platform_fault::stale_read});
    fleet.policies = fleet.policies->withRankTable(parseRankTable(ranks().back().value)); // Already in force.
    CHECK(is(fleet.run("set rank browse effort 5"), query_status::accepted));
    const rank_table written = parseRankTable(ranks().back().value);
    CHECK(written.generation == 5);
    CHECK(written.ranks[1].effort == doctest::Approx(7));
    fleet.policies = fleet.policies->withRankTable(written);
    ranks().resize(1); // As if the platform's store had been restored from an old backup.
    CHECK(is(fleet.run("set rank browse effort 6"), query_status::accepted));
    CHECK(parseRankTable(ranks().back().value).generation == 6);
    CHECK(parseRankTable(ranks().back().value).ranks[1].effort == doctest::Approx(7));
}

TEST_CASE_FIXTURE(change_fixture, "a platform that is down ends in unreachable, and one that never answers a write in unknown")
{
    fleet.platform.nextFault = [] {
        return platform_fault::down;
    };
    CHECK(is(fleet.run("set rank browse effort 5"), query_status::unreachable));
    fleet.platform.nextFault = [calls = 0]() mutable {
        return ++calls == 1 ? platform_fault::none : platform_fault::request_lost;
    };
    const query_result unknown = fleet.run("set rank browse effort 5");
    CHECK(is(unknown, query_status::unknown));
    CHECK(unknown.change.has_value());
    CHECK(ranks().size() == 1);
}

TEST_CASE("whatever the platform does, a change is written once at most and its status is true")
{
    for (std::uint64_t seed = 1; seed <= test::seedCount(3'000); ++seed) {
        CAPTURE(seed);
        change_fixture fixture;
        fixture.fleet.random.seed(seed);
        std::mt19937_64 random(seed);
        int rivals = 0;
        const std::uint64_t faultQuarters = random() % 4; // Quarters of the calls that get a random fault.
        fixture.fleet.platform.nextFault = [&] {
            if (random() % 10 == 0) {
                fixture.writeRival(static_cast<double>(20 + rivals), "rival-" + std::to_string(rivals));
                ++rivals;
            }
            return random() % 4 < faultQuarters ? static_cast<platform_fault>(random() % 6) : platform_fault::none;
        };
        const query_result result = fixture.fleet.run("set rank browse effort 5");
        std::size_t found = 0;
        const auto &versions = fixture.ranks();
        for (std::size_t index = 1; index < versions.size(); ++index) {
            const rank_table before = parseRankTable(versions[index - 1].value);
            const rank_table after = parseRankTable(versions[index].value);
            CHECK(after.generation > before.generation);
            if (after.operationId.starts_with("op-")) {
                ++found;
                CHECK(after.ranks[1].effort == doctest::Approx(before.ranks[1].effort)); // The other operator's change isn't lost.
            }
        }
        CHECK(found <= 1);
        if (is(result, query_status::accepted)) {
            CHECK(found == 1);
        } else if (!is(result, query_status::unknown)) {
            CHECK(found == 0);
        }
        if (is(result, query_status::conflict) && result.other) {
            CHECK(result.other->operationId.starts_with("rival-"));
        }
    }
}
