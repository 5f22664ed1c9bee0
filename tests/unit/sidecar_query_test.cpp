/** @file sidecar_query_test.cpp Operator queries to a sidecar. */

#include "sidecar/sidecar_query_func.h"
#include "sidecar_fleet_fake.h"

#include <doctest/doctest.h>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

request_record makeRecord(const std::string &id, std::int64_t at)
{
    request_record record;
    record.at = clock_ms{at};
    record.requestId = id;
    record.reason = outcome_reason::queue_timeout;
    record.outcome = call_outcome::not_run;
    record.status = 503;
    record.tried = "host-1,host-2";
    record.held = clock_ms{170};
    return record;
}

/** Sends a query to a host's sidecar as `cicadamux query` does. */
query_result ask(sidecar_fleet &fleet, const sidecar_host &host, const std::string &line)
{
    http_message request;
    request.method = "POST";
    request.target = "/query";
    request.body = R"({"query":")" + line + R"("})";
    return parseResultJson(fleet.post(host.settings.adminAddress, request).message.body);
}

} // namespace

TEST_CASE("a failed request is explained from a bounded history that states the period it covers")
{
    request_history history(2);
    sidecar_view view;
    view.host = "host-0";
    view.requests = &history;
    view.now = clock_ms{9'000};
    history.add(makeRecord("a", 1'000));
    const query_result found = answerSidecarQuery("why request a", view);
    CHECK((found.status == query_status::ok));
    CHECK(found.summary == "answered 503 after 170 ms: queue_timeout; sent to host-1,host-2");
    history.add(makeRecord("b", 2'000));
    CHECK(answerSidecarQuery("why request c", view).summary.find("since its start") != std::string::npos);
    history.add(makeRecord("c", 3'000));
    const query_result forgotten = answerSidecarQuery("why request a", view);
    CHECK((forgotten.status == query_status::not_found));
    CHECK(forgotten.summary == "host-0 has no failure on record for request a; its records are complete for the last 8 s");
}

TEST_CASE("an unknown query is answered as a usage error and help lists the known ones")
{
    request_history history(2);
    sidecar_view view;
    view.requests = &history;
    for (const char *line : {"", "why", "why request", "why request a b", "show members", "drop everything"}) {
        CHECK((answerSidecarQuery(line, view).status == query_status::usage));
    }
    const query_result help = answerSidecarQuery("help", view);
    REQUIRE(help.tables.size() == 1);
    CHECK(help.tables[0].rows.size() == 5);
    CHECK((answerSidecarQuery("show in force", view).status == query_status::not_found));
}

TEST_CASE("an operator follows a refused request from the host where it came in to the gate that ended it")
{
    two_hosts hosts(false);
    auto &[fleet, entry, target] = hosts;
    target.serve = [](const std::shared_ptr<test::http_exchange> &exchange) {
        exchange->close();
    };
    const http_reply reply = fleet.call(entry, "/feebox/");
    REQUIRE(reply.message.status == 502);
    const std::string id(headerOf(reply.message, "x-id"));
    const query_result atEntry = ask(fleet, entry, "why request " + id);
    CHECK(atEntry.summary.find("answered 502") == 0);
    CHECK(atEntry.summary.ends_with("sent to host-2"));
    CHECK(ask(fleet, target, "why request " + id).summary == "the gate ended it as unknown: connection_lost");
    CHECK(ask(fleet, entry, "show in force").summary == "configuration 3 with 1 routes");
    const query_result seen = ask(fleet, entry, "show hosts");
    REQUIRE(seen.tables.size() == 1);
    CHECK(seen.tables[0].rows.size() == 1);
    CHECK(ask(fleet, target, "show gate").summary.find("server serving; 0 of ") == 0);
}
