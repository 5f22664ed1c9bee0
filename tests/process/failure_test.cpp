/** @file failure_test.cpp Tests of killed and paused daemons, planned stops and platform outages, with real processes. */

#include "support/two_service_fleet_func.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

constexpr clock_ms eventTimeout{10'000}; ///< Longest wait for an event; reaching it fails the test.

/** Sends calls through each host, one after another, until it is stopped, and counts their outcomes. */
class steady_load
{
public:
    steady_load(const test_fleet &fleet, std::string operation)
        : m_fleet(fleet)
        , m_operation(std::move(operation))
    {
        for (std::size_t host = 0; host < fleet.hosts().size(); ++host) {
            m_threads.emplace_back([this, host] {
                run(host);
            });
        }
    }

    ~steady_load()
    {
        stop();
    }

    steady_load(const steady_load &) = delete;
    steady_load &operator=(const steady_load &) = delete;

    void stop()
    {
        m_stopping = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    /** @return The number of calls with this outcome. */
    std::uint64_t count(const std::string &outcome) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_outcomes.find(outcome);
        return found == m_outcomes.end() ? 0 : found->second;
    }

    /** @return All outcomes with their counts, for failure messages. */
    std::string summary() const
    {
        const std::lock_guard lock(m_mutex);
        std::string text;
        for (const auto &[outcome, count] : m_outcomes) {
            text += outcome + '=' + std::to_string(count) + ' ';
        }
        return text;
    }

    /** @return The number of calls that were neither answered nor known not to have run. */
    std::uint64_t unresolved() const
    {
        const std::lock_guard lock(m_mutex);
        std::uint64_t sum = 0;
        for (const auto &[outcome, count] : m_outcomes) {
            const bool isResolved = outcome == "answered" || outcome.starts_with("not-run") || outcome == "connect_failed";
            sum += isResolved ? 0 : count;
        }
        return sum;
    }

private:
    void run(std::size_t host)
    {
        const std::string edge = m_fleet.hosts()[host].edge;
        for (int number = 0; !m_stopping; ++number) {
            const std::string id = "load-" + std::to_string(host) + "-" + std::to_string(number);
            const http_reply reply = callWith(edge, "pitchdesk", m_operation, id, {});
            std::string outcome = outcomeIn(reply);
            if (outcome == "answered" && reply.message.body.find('"' + id + '"') == std::string::npos) {
                outcome = "wrong_answer";
            }
            const std::lock_guard lock(m_mutex);
            ++m_outcomes[outcome];
        }
    }

    const test_fleet &m_fleet;
    std::string m_operation;
    std::atomic<bool> m_stopping{false};
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("a rolling restart of every daemon under load cuts no request")
{
    test_fleet fleet(twoServiceOptions());
    steady_load load(fleet, "pay");
    for (std::size_t host = 0; host < fleet.hosts().size(); ++host) {
        const std::uint64_t before = load.count("answered");
        CHECK(waitUntil(
            [&] {
                return load.count("answered") > before + 20;
            },
            eventTimeout));
        CHECK(fleet.daemon(host).stop(eventTimeout) == 0);
        fleet.restartDaemon(host);
        CHECK(waitUntil(
            [&] {
                return allAnswer(fleet, "pay");
            },
            eventTimeout));
    }
    load.stop();
    CAPTURE(load.summary());
    CHECK(load.unresolved() == 0);
    CHECK(violations(fleet) == 0);
}

TEST_CASE("a backend server that leaves gets no new work, finishes what it has and ends with 0")
{
    test_fleet fleet(twoServiceOptions());
    steady_load load(fleet, "show");
    CHECK(waitUntil(
        [&] {
            return load.count("answered") > 50;
        },
        eventTimeout));
    CHECK(fleet.backend(0).stop(eventTimeout) == 0);
    const std::uint64_t before = load.count("answered");
    CHECK(waitUntil(
        [&] {
            return load.count("answered") > before + 50;
        },
        eventTimeout));
    load.stop();
    CAPTURE(load.summary());
    CHECK(load.unresolved() == 0);
    CHECK(load.count("not-run overloaded") == 0);
    CHECK(violations(fleet) == 0);
}

TEST_CASE("after a daemon is killed its service goes on, and its tickets never run again")
{
    test_fleet fleet(twoServiceOptions());
    const fleet_host &home = fleet.hosts()[0];
    call_extras extras;
    for (int attempt = 0; attempt < 50 && runsOf(home.backend, "hold", "once") == 0; ++attempt) {
        extras.ticket = takeTicket(home.edge, "pitchdesk", "hold");
        REQUIRE_FALSE(extras.ticket.empty());
        callWith(home.edge, "pitchdesk", "hold", "once", extras);
    }
    REQUIRE(runsOf(home.backend, "hold", "once") == 1);
    const std::int64_t runsBefore = runsOf(fleet.hosts()[0].backend, "hold", "once");
    fleet.daemon(0).kill();
    CHECK(waitUntil(
        [&] {
            return outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "pay", "after", {})) == "answered";
        },
        eventTimeout));
    fleet.restartDaemon(0);
    CHECK(waitUntil(
        [&] {
            return allAnswer(fleet, "pay");
        },
        eventTimeout));
    const std::string outcome = outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "hold", "once", extras));
    CHECK(outcome == "unknown ticket_home_gone");
    CHECK(runsOf(fleet.hosts()[0].backend, "hold", "once") == runsBefore);
    CHECK(violations(fleet) == 0);
}

TEST_CASE("a daemon that was paused for longer than every time-out runs no expired call when it resumes")
{
    test_fleet fleet(twoServiceOptions());
    std::vector<call_extras> ticketed(8);
    for (call_extras &extras : ticketed) {
        extras.ticket = takeTicket(fleet.hosts()[3].edge, "pitchdesk", "hold");
        extras.deadline = "500";
    }
    fleet.daemon(0).pause();
    std::vector<std::string> outcomes;
    for (std::size_t number = 0; number < ticketed.size(); ++number) {
        outcomes.push_back(outcomeIn(callWith(fleet.hosts()[3].edge, "pitchdesk", "hold", "frozen-" + std::to_string(number), ticketed[number])));
    }
    CHECK(waitUntil(
        [&] {
            return metricAt(fleet.hosts()[3].admin, "members") == 3;
        },
        {30'000}));
    fleet.daemon(0).resume();
    CHECK(waitUntil(
        [&] {
            return allAnswer(fleet, "pay");
        },
        eventTimeout));
    for (std::size_t number = 0; number < ticketed.size(); ++number) {
        CAPTURE(outcomes[number]);
        const std::string id = "frozen-" + std::to_string(number);
        const std::int64_t runs = runsOf(fleet.hosts()[0].backend, "hold", id) + runsOf(fleet.hosts()[1].backend, "hold", id);
        const bool wasAnswered = outcomes[number] == "answered";
        CHECK(runs == (wasAnswered ? 1 : 0));
    }
    CHECK(violations(fleet) == 0);
}

TEST_CASE("with the platform down calls go on, and a new daemon learns the policy from its peers")
{
    test_fleet fleet(twoServiceOptions());
    fleet.control(fleet.platformAddress(), {{"fault", "down"}, {"for_ms", 60'000}});
    CHECK(allAnswer(fleet, "pay"));
    CHECK(fleet.daemon(1).stop(eventTimeout) == 0);
    fleet.restartDaemon(1);
    CHECK(waitUntil(
        [&] {
            return allAnswer(fleet, "pay");
        },
        eventTimeout));
    CHECK(violations(fleet) == 0);
}

TEST_CASE("a change is in force in both data centres and a restored store doesn't take it back")
{
    test_fleet fleet(twoServiceOptions());
    fleet.putObject("service_policy", "pitchdesk", R"({"generation":2,"operation_id":"two","service":"pitchdesk","operations":[
        {"name":"pay","class":"fee-payment","rank":"urgent","passes_through":["feebox"],"deadline_ms":2000,"deadline_kind":"strict","retries":2,"at_most_once":false}]})");
    const auto showIsGone = [&fleet] {
        for (const fleet_host &host : fleet.hosts()) {
            if (outcomeIn(callWith(host.edge, "pitchdesk", "show", "id", {})) != "not-run no_policy") {
                return false;
            }
        }
        return true;
    };
    CHECK(waitUntil(showIsGone, eventTimeout));
    fleet.putObject("service_policy", "pitchdesk", R"({"generation":1,"operation_id":"restored","service":"pitchdesk","operations":[
        {"name":"show","class":"browse","rank":"browse","passes_through":[],"deadline_ms":2000,"deadline_kind":"strict","retries":0,"at_most_once":false}]})");
    CHECK(waitUntil(
        [&] {
            return metricSum(fleet, "stale_offers") > 0;
        },
        eventTimeout));
    CHECK(showIsGone());
    CHECK(violations(fleet) == 0);
}
