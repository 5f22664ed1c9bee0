/** @file path_test.cpp Tests of the whole call path with real processes, and of backend servers with faulty answers. */

#include "support/http_client_base.h"
#include "support/raw_socket_base.h"
#include "support/two_service_fleet_func.h"

#include <doctest/doctest.h>

#include <thread>

using namespace cicadamux;
using namespace cicadamux::test;

TEST_CASE("a request passes through two daemons and a chain of two services")
{
    test_fleet fleet(twoServiceOptions());
    const std::string &edge = fleet.hosts()[3].edge; // A host of feebox; pitchdesk runs on other hosts.
    const http_reply reply = callWith(edge, "pitchdesk", "pay", "id-1", {});
    CHECK(outcomeIn(reply) == "answered");
    CHECK(reply.message.body.find("\"id\":\"id-1\"") != std::string::npos);
    CHECK(runsOf(fleet.hosts()[2].backend, "charge", "id-1/0") + runsOf(fleet.hosts()[3].backend, "charge", "id-1/0") == 1);
    CHECK(violations(fleet) == 0);
    CHECK(fleet.stop().empty());
}

TEST_CASE("a caller can't state a rank, a context or a retry allowance")
{
    test_fleet fleet(twoServiceOptions());
    const std::string &edge = fleet.hosts()[0].edge;
    call_extras forged;
    forged.context = "0123456789abcdef";
    CHECK(outcomeIn(callWith(edge, "pitchdesk", "pay", "id-1", forged)) == "answered");
    CHECK(outcomeIn(callWith(fleet.hosts()[0].local, "pitchdesk", "pay", "id-2", forged)) == "not-run parent_gone");
    call_extras badContext;
    badContext.context = "not a context";
    CHECK(outcomeIn(callWith(fleet.hosts()[0].local, "pitchdesk", "pay", "id-3", badContext)) == "not-run bad_request");
    call_extras badDeadline;
    badDeadline.deadline = "-5";
    CHECK(outcomeIn(callWith(edge, "pitchdesk", "pay", "id-4", badDeadline)) == "not-run bad_request");
    CHECK(outcomeIn(callWith(edge, "pitchdesk", "no-such", "id-5", {})) == "not-run no_policy");
    CHECK(outcomeIn(callWith(edge, "no-such", "hold", "id-6", {})) == "not-run no_policy");
    CHECK(runsOf(fleet.hosts()[2].backend, "charge", "id-2/0") == 0);
}

TEST_CASE("an at-most-once operation runs once under its ticket, whatever is repeated")
{
    test_fleet fleet(twoServiceOptions());
    const std::string &edge = fleet.hosts()[3].edge;
    CHECK(outcomeIn(callWith(edge, "pitchdesk", "hold", "id-1", {})) == "not-run ticket_required");
    call_extras extras;
    extras.ticket = takeTicket(edge, "pitchdesk", "hold");
    REQUIRE_FALSE(extras.ticket.empty());
    const http_reply first = callWith(edge, "pitchdesk", "hold", "id-1", extras);
    const http_reply second = callWith(fleet.hosts()[2].edge, "pitchdesk", "hold", "id-1", extras);
    CHECK(outcomeIn(first) == "answered");
    CHECK(outcomeIn(second) == "answered");
    CHECK(first.message.body == second.message.body);
    CHECK(runsOf(fleet.hosts()[0].backend, "hold", "id-1") + runsOf(fleet.hosts()[1].backend, "hold", "id-1") == 1);
    extras.ticket[extras.ticket.size() / 2] ^= 1;
    CHECK(outcomeIn(callWith(edge, "pitchdesk", "hold", "id-2", extras)) == "not-run ticket_invalid");
}

TEST_CASE("truncated or duplicated or late or missing answers and those of the wrong length never reach a caller as answers")
{
    test_fleet fleet(twoServiceOptions());
    const std::string &edge = fleet.hosts()[3].edge;
    const auto setFaultOfAll = [&fleet](const char *fault) {
        for (const std::size_t host : {0U, 1U}) {
            fleet.control(fleet.hosts()[host].backend, {{"fault", "clear"}});
            fleet.control(fleet.hosts()[host].backend, {{"fault", fault}, {"delay_ms", 900}});
        }
    };
    call_extras shortDeadline;
    shortDeadline.deadline = "300";
    struct expectation {
        const char *fault;
        std::string outcome;
    };
    const std::vector<expectation> expectations = {
        {"half_answer", "unknown answer_broken"},
        {"wrong_length", "unknown answer_broken"},
        {"no_answer", "unknown connection_lost"},
        {"late_answer", "unknown answer_timeout"},
    };
    int number = 0;
    for (const expectation &expected : expectations) {
        CAPTURE(expected.fault);
        setFaultOfAll(expected.fault);
        CHECK(outcomeIn(callWith(edge, "pitchdesk", "show", "bad-" + std::to_string(++number), shortDeadline)) == expected.outcome);
    }
    setFaultOfAll("double_answer");
    for (int round = 0; round < 20; ++round) {
        const std::string id = "double-" + std::to_string(round);
        const http_reply reply = callWith(edge, "pitchdesk", "show", id, {});
        CHECK(outcomeIn(reply) == "answered");
        CHECK(reply.message.body.find('"' + id + '"') != std::string::npos);
    }
    CHECK(violations(fleet) == 0);
}

TEST_CASE("an earlier refusal that a backend server writes ahead of an answer keeps no call from its answer")
{
    test_fleet fleet(twoServiceOptions());
    for (const std::size_t host : {0U, 1U}) {
        fleet.control(fleet.hosts()[host].backend, {{"fault", "repeated_refusal"}});
    }
    for (int round = 0; round < 10; ++round) {
        const std::string id = "repeated-" + std::to_string(round);
        const http_reply reply = callWith(fleet.hosts()[3].edge, "pitchdesk", "show", id, {});
        CHECK(outcomeIn(reply) == "answered");
        CHECK(reply.message.body.find('"' + id + '"') != std::string::npos);
    }
    CHECK(violations(fleet) == 0);
}

TEST_CASE("shed work is refused as not run, and protected work is tried at another upstream first")
{
    test_fleet fleet(twoServiceOptions());
    fleet.control(fleet.hosts()[0].backend, {{"fault", "shed"}});
    for (int round = 0; round < 10; ++round) {
        CHECK(outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "pay", "id-" + std::to_string(round), {})) == "answered");
    }
    fleet.control(fleet.hosts()[1].backend, {{"fault", "shed"}});
    CHECK(outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "pay", "id-x", {})) == "not-run shed");
}

TEST_CASE("garbage on any listener ends in a typed answer or a closed connection, and the daemon keeps serving")
{
    test_fleet fleet(twoServiceOptions());
    const fleet_host host = fleet.hosts()[0];
    for (const std::string &address : {host.edge, host.local, host.admin}) {
        raw_socket socket(address);
        socket.send("NONSENSE\r\n\r\n");
        CHECK(socket.receiveAll().find("bad_request") != std::string::npos);
    }
    raw_socket peer(host.peer);
    peer.send("NONSENSE\r\n\r\n");
    peer.finishSending();
    peer.receiveAll();
    http_message announcement;
    announcement.method = "POST";
    announcement.target = "/cicadamux/announce";
    announcement.body = R"({"service":"Pitch Desk","address":"x"})";
    CHECK(callHttp(host.local, announcement, {2'000}).message.status == 400);
    CHECK(outcomeIn(callWith(host.edge, "pitchdesk", "pay", "id-1", {})) == "answered");
}

TEST_CASE("a caller that goes away cancels its whole tree")
{
    test_fleet fleet(twoServiceOptions());
    for (const fleet_host &host : fleet.hostsOf("feebox")) {
        fleet.control(host.backend, {{"fault", "slow"}, {"factor", 500}});
    }
    const auto sumCounter = [&fleet](const char *counter) {
        return fleet.counters(fleet.hosts()[2].backend).at(counter).to_number<int>() + fleet.counters(fleet.hosts()[3].backend).at(counter).to_number<int>();
    };
    const int before = sumCounter("runs");
    {
        raw_socket caller(fleet.hosts()[0].edge);
        caller.send("POST / HTTP/1.1\r\nHost: h\r\ncicadamux-service: pitchdesk\r\ncicadamux-operation: pay\r\n"
                    "Content-Length: 13\r\n\r\n{\"id\":\"gone\"}");
        CHECK(waitUntil(
            [&] {
                return sumCounter("runs") > before;
            },
            {10'000}));
    }
    CHECK(waitUntil(
        [&] {
            return sumCounter("cancelled") == 1;
        },
        {4'000}));
    CHECK(waitUntil(
        [&] {
            return metricSum(fleet, "gate_in_use") == 0;
        },
        {4'000}));
    CHECK(violations(fleet) == 0);
}

TEST_CASE("retries of every layer together stay within the root's allowance")
{
    fleet_options options = twoServiceOptions();
    options.services[0].retries = 5;
    options.services[1].retries = 5;
    test_fleet fleet(options);
    fleet.control(fleet.hosts()[2].backend, {{"fault", "fail"}});
    fleet.control(fleet.hosts()[3].backend, {{"fault", "fail"}});
    constexpr int roots = 20;
    constexpr int allowance = 2; // Retries of pitchdesk/pay in the policy of twoServiceOptions().
    for (int root = 0; root < roots; ++root) {
        const std::string id = "root-" + std::to_string(root);
        callWith(fleet.hosts()[0].edge, "pitchdesk", "pay", id, {});
        const std::int64_t runs = runsOf(fleet.hosts()[2].backend, "charge", id + "/0") + runsOf(fleet.hosts()[3].backend, "charge", id + "/0");
        CHECK(runs >= 1);
        CHECK(runs <= 1 + allowance);
    }
    CHECK(violations(fleet) == 0);
}

TEST_CASE("a call that one upstream may have run is never reported as not run")
{
    test_fleet fleet(twoServiceOptions());
    fleet.control(fleet.hosts()[0].backend, {{"fault", "no_answer"}});
    fleet.control(fleet.hosts()[1].backend, {{"fault", "shed"}});
    for (int round = 0; round < 10; ++round) {
        const std::string id = "maybe-" + std::to_string(round);
        CHECK(outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "pay", id, {})).starts_with("unknown"));
    }
    CHECK(violations(fleet) == 0);
}

TEST_CASE("a ticket that may have run elsewhere is never reported as not run")
{
    test_fleet fleet(twoServiceOptions());
    const fleet_host &home = fleet.hosts()[0];
    call_extras extras;
    extras.ticket = takeTicket(home.edge, "pitchdesk", "hold");
    for (const fleet_host &host : fleet.hostsOf("pitchdesk")) {
        fleet.control(host.backend, {{"fault", "no_answer"}});
    }
    const http_reply first = callWith(home.edge, "pitchdesk", "hold", "id-1", extras);
    REQUIRE(outcomeIn(first) == "unknown connection_lost");
    extras.deadline = "1"; // The repeat either expires before it reaches the ticket's home, or finds the outcome there.
    for (int round = 0; round < 20; ++round) {
        const std::string outcome = outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "hold", "id-1", extras));
        CAPTURE(outcome);
        CHECK(outcome.starts_with("unknown"));
    }
}

TEST_CASE("a planned stop waits for a call that takes longer than the leave notice period")
{
    test_fleet fleet(twoServiceOptions());
    for (const fleet_host &host : fleet.hostsOf("pitchdesk")) {
        fleet.control(host.backend, {{"fault", "slow"}, {"factor", 400}});
    }
    call_extras longDeadline;
    longDeadline.deadline = "8000"; // Well above the slowed service time of about 4 s.
    std::string outcome;
    std::thread caller([&] {
        outcome = outcomeIn(callWith(fleet.hosts()[2].edge, "pitchdesk", "show", "slow", longDeadline));
    });
    const auto hasCallInFlight = [&fleet](std::size_t host) {
        return metricAt(fleet.hosts()[host].admin, "gate_in_use") > 0;
    };
    CHECK(waitUntil(
        [&] {
            return hasCallInFlight(0) || hasCallInFlight(1);
        },
        {5'000}));
    CHECK(fleet.daemon(hasCallInFlight(0) ? 0 : 1).stop({10'000}) == 0);
    caller.join();
    CHECK(outcome == "answered");
}
