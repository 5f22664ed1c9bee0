/** @file ticket_home_test.cpp A ticket runs at most once, and `not run` is reported only if it is certain, under random schedules of faults. */

#include "support/invariant_guard_type.h"
#include "support/seeds_func.h"
#include "ticket/ticket_home_base.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <random>
#include <thread>
#include <vector>

using namespace cicadamux;

namespace
{
constexpr incarnation_id firstIncarnation{7};
constexpr std::size_t capacity = 64;

ticket makeTicket(std::uint64_t nonce, clock_ms expiry, incarnation_id incarnation = firstIncarnation)
{
    return {nonce, "host-a", incarnation, "pitchdesk", "hold", expiry};
}

std::shared_ptr<const call_result> makeAnswer(const std::string &body)
{
    call_result result;
    result.outcome = call_outcome::answered;
    result.body = body;
    return std::make_shared<const call_result>(std::move(result));
}

std::shared_ptr<const call_result> makeNotRun()
{
    return std::make_shared<const call_result>(makeRefused({outcome_reason::overloaded, {}, {}, {}, {}}, 0));
}

/** One incarnation of the daemon on host-a. Two may be reachable at the same time, because membership views may differ. */
struct home_instance {
    incarnation_id incarnation;
    std::unique_ptr<ticket_home> home;
};

/** A call that uses a ticket at one of the daemon instances. */
struct ticket_call {
    ticket subject;
    std::size_t instance = 0; ///< Index of the daemon instance.
    bool isSent = false;
};

/** What actually happened with a ticket. */
struct ticket_history {
    int runs = 0; ///< Calls that reached the backend server and were not shed.
    bool reportedNotRun = false; ///< The ticket was voided, or its call was refused.
};

/** Runs random schedules of calls, repeats, voids, daemon starts and kills, pauses and clock jumps with a few tickets. */
class ticket_simulation
{
public:
    explicit ticket_simulation(std::uint64_t seed)
        : m_random(seed)
        , m_capacity(seed % 3 == 0 ? capacity / 8 : capacity)
    {
        startInstance();
    }

    void run(int steps)
    {
        for (int number = 0; number < steps; ++number) {
            step(below(100));
        }
    }

    int ran = 0;

private:
    std::size_t below(std::size_t bound)
    {
        return m_random() % bound;
    }

    void step(std::size_t action)
    {
        if (action < 12 || m_tickets.empty()) {
            m_tickets.push_back(makeTicket(m_tickets.size() + 1, m_wall + clock_ms{ticketLifetime}, m_instances[below(m_instances.size())].incarnation));
        } else if (action < 45) {
            call(anyTicket(), below(m_instances.size()));
        } else if (action < 75) {
            proceed();
        } else if (action < 82) {
            voidTicket(anyTicket(), below(m_instances.size()));
        } else if (action < 84) {
            startOrKillInstance();
        } else {
            moveClock(action);
        }
    }

    /** Picks mostly one of the latest tickets, sometimes any. */
    const ticket &anyTicket()
    {
        const std::size_t recent = std::min<std::size_t>(m_tickets.size(), 4);
        return below(4) == 0 ? m_tickets[below(m_tickets.size())] : m_tickets[m_tickets.size() - 1 - below(recent)];
    }

    void call(const ticket &subject, std::size_t instance)
    {
        const std::uint64_t nonce = subject.nonce;
        const ticket_begin decision = m_instances[instance].home->begin(subject, m_wall, [this, nonce](const std::shared_ptr<const call_result> &result) {
            checkOutcome(nonce, *result);
        });
        if (decision.verdict == ticket_verdict::run) {
            REQUIRE(m_instances[instance].incarnation == subject.homeIncarnation);
            m_calls.push_back({subject, instance, false});
        } else if (decision.verdict == ticket_verdict::repeat) {
            checkOutcome(nonce, *decision.result);
        } else if (decision.verdict == ticket_verdict::refuse && outcomeOf(decision.reason) == call_outcome::not_run) {
            REQUIRE(m_histories[nonce].runs == 0);
            m_histories[nonce].reportedNotRun = true;
        }
    }

    /** Checks that a repeat gets its own call's outcome, and a correct one. */
    void checkOutcome(std::uint64_t nonce, const call_result &result)
    {
        if (result.outcome == call_outcome::answered) {
            REQUIRE(result.body == std::to_string(nonce));
        }
        if (result.outcome == call_outcome::not_run) {
            REQUIRE(m_histories[nonce].runs == 0);
        }
    }

    /** Advances one call by a step: refused by the gate, sent, shed or answered. */
    void proceed()
    {
        if (m_calls.empty()) {
            return;
        }
        const std::size_t index = below(m_calls.size());
        ticket_call &running = m_calls[index];
        ticket_home &home = *m_instances[running.instance].home;
        ticket_history &history = m_histories[running.subject.nonce];
        REQUIRE((!running.isSent || !home.confirmSend(running.subject, m_wall)));
        if (!running.isSent && below(4) != 0 && home.confirmSend(running.subject, m_wall)) {
            REQUIRE(m_wall < running.subject.expiry);
            REQUIRE_FALSE(history.reportedNotRun);
            REQUIRE(++history.runs == 1);
            ++ran;
            running.isSent = true;
            return;
        }
        if (!running.isSent || below(4) == 0) {
            history.runs -= running.isSent ? 1 : 0;
            releaseUnsent(home, running.subject);
        } else {
            home.finish(running.subject, makeAnswer(std::to_string(running.subject.nonce)));
        }
        m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void releaseUnsent(ticket_home &home, const ticket &subject)
    {
        if (below(2) == 0) {
            home.notRun(subject, makeNotRun());
            return;
        }
        home.refuse(subject, makeNotRun());
        m_histories[subject.nonce].reportedNotRun = true;
    }

    void voidTicket(const ticket &subject, std::size_t instance)
    {
        if (m_instances[instance].home->voidTicket(subject, m_wall)) {
            REQUIRE(m_histories[subject.nonce].runs == 0);
            m_histories[subject.nonce].reportedNotRun = true;
        }
    }

    void startInstance()
    {
        const incarnation_id incarnation{firstIncarnation.value + m_startCount++};
        m_instances.push_back({incarnation, std::make_unique<ticket_home>("host-a", incarnation, m_capacity)});
    }

    void startOrKillInstance()
    {
        if (m_instances.size() < 2) {
            startInstance();
            return;
        }
        std::erase_if(m_calls, [](const ticket_call &running) {
            return running.instance == 0;
        });
        for (ticket_call &running : m_calls) {
            --running.instance;
        }
        m_instances.erase(m_instances.begin());
    }

    void moveClock(std::size_t action)
    {
        if (action < 96) {
            m_wall.count += static_cast<std::int64_t>(below(5'000));
        } else {
            m_wall.count += static_cast<std::int64_t>(below(400'000)) - 200'000;
        }
        for (const home_instance &each : m_instances) {
            each.home->tick(m_wall);
        }
    }

    std::mt19937_64 m_random;
    std::size_t m_capacity;
    clock_ms m_wall{1'000'000'000};
    std::uint64_t m_startCount = 0;
    std::vector<home_instance> m_instances;
    std::vector<ticket> m_tickets;
    std::vector<ticket_call> m_calls;
    std::map<std::uint64_t, ticket_history> m_histories; ///< By nonce.
};
} // namespace

TEST_CASE("a ticket runs once at most and `not run` is true, over random schedules")
{
    const test::invariant_guard guard;
    int ran = 0;
    for (std::uint64_t seed = 1; seed <= test::seedCount(2'000); ++seed) {
        CAPTURE(seed);
        ticket_simulation simulation(seed);
        simulation.run(400);
        ran += simulation.ran;
    }
    CHECK(ran > 0);
}

TEST_CASE("a ticket runs once at most under concurrent calls and voids")
{
    constexpr std::uint64_t ticketCount = 2'000;
    ticket_home home("host-a", firstIncarnation, ticketCount);
    std::vector<std::atomic<int>> runs(ticketCount);
    std::vector<std::atomic<int>> voids(ticketCount);
    std::vector<std::thread> threads;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        threads.emplace_back([&, seed] {
            std::mt19937_64 random(seed);
            for (std::uint64_t nonce = 0; nonce < ticketCount; ++nonce) {
                const ticket subject = makeTicket(nonce, {ticketLifetime});
                if (random() % 3 == 0) {
                    voids[nonce] += home.voidTicket(subject, {0}) ? 1 : 0;
                } else if (home.begin(subject, {0}, {}).verdict == ticket_verdict::run && home.confirmSend(subject, {0})) {
                    ++runs[nonce];
                }
            }
        });
    }
    for (std::thread &each : threads) {
        each.join();
    }
    for (std::uint64_t nonce = 0; nonce < ticketCount; ++nonce) {
        REQUIRE(runs[nonce] + (voids[nonce] > 0 ? 1 : 0) <= 1);
    }
}

TEST_CASE("repeats wait for the outcome, and an expired ticket that ran still gets it")
{
    ticket_home home("host-a", firstIncarnation, capacity);
    const ticket subject = makeTicket(1, {1'000});
    CHECK(home.begin(subject, {0}, {}).verdict == ticket_verdict::run);
    CHECK(home.confirmSend(subject, {999}));
    CHECK_FALSE(home.voidTicket(subject, {999}));
    int told = 0;
    for (int waiter = 0; waiter < 16; ++waiter) {
        CHECK(home.begin(subject,
                         {2'000},
                         [&](const auto &result) {
                             told += result->body == "x" ? 1 : 0;
                         })
                  .verdict
              == ticket_verdict::wait);
    }
    const ticket_begin beyond = home.begin(subject, {2'000}, {});
    CHECK((beyond.verdict == ticket_verdict::refuse && outcomeOf(beyond.reason) == call_outcome::unknown));
    home.finish(subject, makeAnswer("x"));
    CHECK(told == 16);
    home.tick({60'999});
    CHECK(home.begin(subject, {60'999}, {}).result->body == "x");
    home.tick({61'000});
    CHECK((home.begin(subject, {61'000}, {}).reason == outcome_reason::ticket_home_gone));
    CHECK_FALSE(home.voidTicket(subject, {0}));
    CHECK((home.begin(subject, {0}, {}).reason == outcome_reason::ticket_home_gone));
}

TEST_CASE("a ticket of another incarnation or host and an expired or voided ticket are never run")
{
    ticket_home home("host-a", firstIncarnation, capacity);
    ticket foreign = makeTicket(1, {1'000}, {8});
    CHECK((home.begin(foreign, {0}, {}).reason == outcome_reason::ticket_home_gone));
    CHECK_FALSE(home.voidTicket(foreign, {0}));
    foreign = makeTicket(1, {1'000});
    foreign.homeHost = "host-b";
    CHECK((home.begin(foreign, {0}, {}).reason == outcome_reason::ticket_home_gone));

    const ticket late = makeTicket(2, {1'000});
    CHECK((home.begin(late, {1'000}, {}).reason == outcome_reason::ticket_expired));
    CHECK((home.begin(late, {0}, {}).reason == outcome_reason::ticket_expired));

    const ticket paused = makeTicket(3, {5'000});
    CHECK(home.begin(paused, {0}, {}).verdict == ticket_verdict::run);
    CHECK_FALSE(home.confirmSend(paused, {5'000}));
    CHECK_FALSE(home.confirmSend(paused, {0}));

    const ticket voided = makeTicket(4, {5'000});
    CHECK(home.begin(voided, {0}, {}).verdict == ticket_verdict::run);
    CHECK(home.voidTicket(voided, {0}));
    CHECK_FALSE(home.confirmSend(voided, {0}));
    home.notRun(voided, makeNotRun());
    CHECK((home.begin(voided, {0}, {}).reason == outcome_reason::ticket_expired));

    const ticket refused = makeTicket(5, {5'000});
    CHECK(home.begin(refused, {0}, {}).verdict == ticket_verdict::run);
    home.notRun(refused, makeNotRun());
    CHECK(home.begin(refused, {0}, {}).verdict == ticket_verdict::run);
    home.refuse(refused, makeNotRun());
    CHECK((home.begin(refused, {0}, {}).reason == outcome_reason::ticket_expired));
}

TEST_CASE("a full memory refuses new tickets and keeps the old; an answer too large to keep is said to be unknown")
{
    ticket_home home("host-a", firstIncarnation, 1);
    const ticket first = makeTicket(1, {1'000});
    CHECK(home.begin(first, {0}, {}).verdict == ticket_verdict::run);
    CHECK((home.begin(makeTicket(2, {1'000}), {0}, {}).reason == outcome_reason::daemon_busy));
    CHECK(home.voidTicket(makeTicket(2, {1'000}), {0}));
    CHECK((home.begin(makeTicket(2, {100'000}), {0}, {}).reason == outcome_reason::ticket_home_gone));
    CHECK(home.confirmSend(first, {0}));
    home.finish(first, makeAnswer(std::string(100'000, 'x')));
    CHECK((home.begin(first, {0}, {}).result->outcome == call_outcome::unknown));
    home.tick({61'000});
    CHECK((home.begin(makeTicket(2, {1'000}), {0}, {}).reason != outcome_reason::none));
    CHECK(home.begin(makeTicket(3, {90'000}), {61'000}, {}).verdict == ticket_verdict::run);
}
