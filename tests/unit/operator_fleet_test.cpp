/** @file operator_fleet_test.cpp Tests of queries of the fleet, also with silent daemons. */

#include "operator_fleet_fake.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cicadamux;
using test::operators::fake_fleet;

namespace
{
struct fleet_fixture {
    fake_fleet fleet;

    fleet_fixture()
    {
        for (int number = 0; number < 50; ++number) {
            const std::string suffix = std::to_string(number);
            fleet.add("host-" + suffix, "dc-" + std::to_string(number % 3), number % 2 == 0 ? "pitchdesk" : "feebox");
        }
    }

    void refuse(int host, std::uint64_t root, outcome_reason reason)
    {
        refusal_record record;
        record.root = {root};
        record.service = "pitchdesk";
        record.operation = "hold";
        record.callClass = "pitch-hold";
        record.rank = {2};
        record.reason = reason;
        record.rankAdmitted = 1;
        record.queueLength = 4;
        record.limit = 8;
        fleet.logs.at("host-" + std::to_string(host))->add(record, clock_ms{fleet.queue.now});
    }

    void silence(int count)
    {
        for (int number = 1; number <= count; ++number) {
            fleet.silent.insert("host-" + std::to_string(number));
        }
    }
};

bool is(const query_result &result, query_status status)
{
    return result.status == status;
}

const query_row &rowOf(const query_table &table, const std::string &first)
{
    const auto found = std::ranges::find(table.rows, query_cell(first), [](const query_row &row) {
        return row.front();
    });
    REQUIRE(found != table.rows.end());
    return *found;
}
} // namespace

TEST_CASE_FIXTURE(fleet_fixture, "refusals of the whole fleet are summed, and daemons that are silent are named")
{
    for (int host = 10; host < 20; ++host) {
        refuse(host, 1, host % 2 == 0 ? outcome_reason::overloaded : outcome_reason::queue_timeout);
    }
    const query_result all = fleet.run("show refusals for pitchdesk last 1m by reason");
    CHECK(is(all, query_status::ok));
    CHECK(rowOf(all.tables.at(0), "overloaded")[1] == query_cell(std::int64_t{5}));
    CHECK(rowOf(fleet.run("show refusals by rank").tables.at(0), "browse")[1] == query_cell(std::int64_t{10}));
    CHECK(rowOf(fleet.run("show refusals by data-center").tables.at(0), "dc-1")[1] == query_cell(std::int64_t{4}));
    silence(5);
    const query_result some = fleet.run("show refusals");
    CHECK(is(some, query_status::partial));
    CHECK(some.missing.size() == 5);
    CHECK(some.missing[0].host.starts_with("host-"));
}

TEST_CASE_FIXTURE(fleet_fixture, "why refused finds the daemon that refused, and doesn't say that nobody did while some are silent")
{
    refuse(33, 0xabc, outcome_reason::overloaded);
    const query_result found = fleet.run("why refused 0000000000000abc");
    CHECK(is(found, query_status::ok));
    CHECK(found.summary.find("host-33 in dc-0 refused pitchdesk/hold (rank browse): overloaded") == 0);
    CHECK(found.summary.find("limit of 8 calls, 4 waited, the call had waited 0 ms, and it admitted ranks down to late-ok") != std::string::npos);
    CHECK(is(fleet.run("why refused 0000000000000abd"), query_status::not_found));
    silence(5);
    CHECK(is(fleet.run("why refused 0000000000000abd"), query_status::partial));
}

TEST_CASE_FIXTURE(fleet_fixture, "a silent data centre holds up no other")
{
    for (int number = 0; number < 900; ++number) {
        fleet.add("far-" + std::to_string(number), "dc-far", "");
        fleet.silent.insert("far-" + std::to_string(number));
    }
    std::rotate(fleet.view.begin() + 1, fleet.view.begin() + 50, fleet.view.end()); // The silent daemons are queried first.
    const query_result result = fleet.run("show refusals");
    CHECK(result.missing.size() == 900);
    CHECK(std::ranges::none_of(result.missing, [](const missing_answer &part) {
        return part.dataCenter != "dc-far";
    }));
}

TEST_CASE_FIXTURE(fleet_fixture, "in force is said of a data centre only if all its daemons report it")
{
    CHECK(is(fleet.run("show in-force pitchdesk"), query_status::ok));
    fleet.view[4].configurationDigest = 1; // host-4 in dc-1 is behind.
    fleet.generations["host-4"] = {{"service_policy", "pitchdesk", 1}};
    const query_result lagging = fleet.run("show in-force pitchdesk generation 2");
    CHECK(is(lagging, query_status::accepted));
    CHECK(lagging.summary == "not in force everywhere; not yet in dc-1");
    fleet.generations["host-4"] = {{"service_policy", "pitchdesk", 2}};
    CHECK(is(fleet.run("show in-force pitchdesk generation 2"), query_status::ok));
    CHECK(is(fleet.run("show in-force pitchdesk generation 3"), query_status::accepted));
    fleet.silent.insert("host-4");
    CHECK(is(fleet.run("show in-force pitchdesk generation 2"), query_status::accepted));
    CHECK(is(fleet.run("show in-force nosuch"), query_status::not_found));
}

TEST_CASE_FIXTURE(fleet_fixture, "a data centre that is cut off is named, and in force is never said of it")
{
    std::erase_if(fleet.view, [](const member_record &member) {
        return member.dataCenter == "dc-2";
    });
    const clock_ms cutOff{fleet.queue.now};
    fleet.history.recordView(fleet.view, cutOff);
    const query_result result = fleet.run("show in-force ranks generation 3");
    CHECK(is(result, query_status::accepted));
    CHECK(result.summary == "not in force everywhere; unreachable: dc-2");
    for (const query_row &row : result.tables.at(0).rows) {
        CHECK((row[2] == query_cell("dc-2")) == (row[6] == query_cell("unreachable")));
    }
    CHECK(fleet.history.names(cutOff + dataCenterRetention).size() == 3);
    CHECK(fleet.history.names(cutOff + clock_ms{1} + dataCenterRetention).size() == 2);
}

TEST_CASE_FIXTURE(fleet_fixture, "drain reaches the host's own daemon, and silence is unknown")
{
    CHECK(is(fleet.run("drain host-7"), query_status::ok));
    CHECK(fleet.draining == std::map<std::string, bool>{{"host-7", true}});
    CHECK(is(fleet.run("undrain host-0"), query_status::ok));
    CHECK_FALSE(fleet.draining["host-0"]);
    fleet.silent.insert("host-8");
    CHECK(is(fleet.run("drain host-8"), query_status::unknown));
    CHECK(is(fleet.run("drain nosuch"), query_status::not_found));
}

TEST_CASE_FIXTURE(fleet_fixture, "members, limits, upstreams and policies are shown as tables")
{
    CHECK(fleet.run("show members for feebox in dc-1").tables.at(0).rows.size() == 9);
    CHECK(fleet.run("show limits for pitchdesk").tables.at(0).rows.size() == 25);
    CHECK(fleet.run("show limits").tables.at(0).rows.size() == 50);
    CHECK(fleet.run("show upstreams at host-9").tables.at(0).title == "upstreams as host-9 sees them");
    CHECK(fleet.run("show policy").tables.size() == 3);
    CHECK(is(fleet.run("show policy nosuch"), query_status::not_found));
    const std::string given = formatServicePolicy(fleet.policies->services().find("feebox")->second);
    CHECK(fleet.run("compare policy feebox " + given).differences.empty());
    CHECK(is(fleet.run("compare policy pitchdesk " + given), query_status::refused));
    const std::string text = formatResultText(fleet.run("show members"));
    CHECK(text.find("host-49") != std::string::npos);
}

TEST_CASE_FIXTURE(fleet_fixture, "a daemon answers another only what concerns itself")
{
    const auto hooks = fleet.hooksOf("host-3");
    const auto ask = [&hooks](std::string_view query) {
        return parseResultJson(answerAsk(query, *hooks));
    };
    CHECK(is(ask("set rank browse effort 5"), query_status::usage));
    CHECK(is(ask("local set rank browse effort 5"), query_status::usage));
    CHECK(is(ask("local drain host-4"), query_status::not_found));
    CHECK(is(ask("local \xff\xfe"), query_status::usage));
    CHECK(fleet.platform.writes() == 3);
    CHECK(fleet.draining.empty());
    CHECK_THROWS_AS(parseResultJson(R"({"status":"ok","summary":"","tables":[{"title":"","columns":["a"],"rows":[[1,2]]}]})"), query_result_error);
    CHECK_THROWS_AS(parseResultJson(R"({"status":7})"), query_result_error);
}

TEST_CASE_FIXTURE(fleet_fixture, "a hook that throws ends in a failed answer, not in the daemon's end")
{
    const auto hooks = fleet.hooksOf("host-0");
    hooks->dataCenters = nullptr;
    std::string answer;
    runQuery("show in-force ranks", hooks, [&answer](std::string json) {
        answer = std::move(json);
    });
    CHECK(is(parseResultJson(answer), query_status::failed));
}

TEST_CASE_FIXTURE(fleet_fixture, "a malformed body is answered as a query that isn't understood")
{
    for (const std::string body : {"", "[]", "{}", R"({"query":1})", R"({"query":"help","more":1})"}) {
        CAPTURE(body);
        std::string answer;
        runQueryBody(body, fleet.hooksOf("host-0"), [&answer](std::string json) {
            answer = std::move(json);
        });
        CHECK(is(parseResultJson(answer), query_status::usage));
    }
}
