/** @file ticket_home_test.cpp A ticket runs once at most, and `not run` is only said when sure, over random schedules of faults. */

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
constexpr incarnation_id firstLife{7};
constexpr std::size_t capacity = 64;

ticket makeTicket(std::uint64_t nonce, clock_ms expiry, incarnation_id life = firstLife)
{
    return {nonce, "host-a", life, "pitchdesk", "hold", expiry};
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

/** One life of the daemon of host-a; several may be up at a time, as two views of the members may have it. */
struct home_life {
    incarnation_id life;
    std::unique_ptr<ticket_home> home;
};

/** A call that holds a ticket at a life. */
struct held_ticket {
    ticket subject;
    std::size_t life = 0;
    bool isSent = false;
};

struct ticket_truth {
    int runs = 0; ///< Calls that reached the backend server and weren't shed.
    bool saidNotRun = false; ///< Voided, or refused.
};

/** Random schedules of calls, repeats, voids, kills, pauses and clock jumps over a few tickets. */
class ticket_world
{
public:
    explicit ticket_world(std::uint64_t seed)
        : m_random(seed)
        , m_capacity(seed % 3 == 0 ? capacity / 8 : capacity)
    {
        startLife();
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
            m_tickets.push_back(makeTicket(m_tickets.size() + 1, m_wall + clock_ms{ticketLifetime}, m_lives[below(m_lives.size())].life));
        } else if (action < 45) {
            call(anyTicket(), below(m_lives.size()));
        } else if (action < 75) {
            proceed();
        } else if (action < 82) {
            voidOne(anyTicket(), below(m_lives.size()));
        } else if (action < 84) {
            killOrStart();
        } else {
            moveClock(action);
        }
    }

    /** Young tickets mostly, an old one at times. */
    const ticket &anyTicket()
    {
        const std::size_t young = std::min<std::size_t>(m_tickets.size(), 4);
        return below(4) == 0 ? m_tickets[below(m_tickets.size())] : m_tickets[m_tickets.size() - 1 - below(young)];
    }

    void call(const ticket &subject, std::size_t life)
    {
        const std::uint64_t nonce = subject.nonce;
        const ticket_begin decision = m_lives[life].home->begin(subject, m_wall, [this, nonce](const std::shared_ptr<const call_result> &result) {
            checkOutcome(nonce, *result);
        });
        if (decision.verdict == ticket_verdict::run) {
            REQUIRE(m_lives[life].life == subject.homeIncarnation);
            m_held.push_back({subject, life, false});
        } else if (decision.verdict == ticket_verdict::repeat) {
            checkOutcome(nonce, *decision.result);
        } else if (decision.verdict == ticket_verdict::refuse && outcomeOf(decision.reason) == call_outcome::not_run) {
            REQUIRE(m_truths[nonce].runs == 0);
            m_truths[nonce].saidNotRun = true;
        }
    }

    /** What a repeat hears must be its own, and true. */
    void checkOutcome(std::uint64_t nonce, const call_result &result)
    {
        if (result.outcome == call_outcome::answered) {
            REQUIRE(result.body == std::to_string(nonce));
        }
        if (result.outcome == call_outcome::not_run) {
            REQUIRE(m_truths[nonce].runs == 0);
        }
    }

    /** Lets one held call go on by a step: refused by the gate, sent, shed or answered. */
    void proceed()
    {
        if (m_held.empty()) {
            return;
        }
        const std::size_t index = below(m_held.size());
        held_ticket &held = m_held[index];
        ticket_home &home = *m_lives[held.life].home;
        ticket_truth &truth = m_truths[held.subject.nonce];
        REQUIRE((!held.isSent || !home.confirmSend(held.subject, m_wall)));
        if (!held.isSent && below(4) != 0 && home.confirmSend(held.subject, m_wall)) {
            REQUIRE(m_wall < held.subject.expiry);
            REQUIRE_FALSE(truth.saidNotRun);
            REQUIRE(++truth.runs == 1);
            ++ran;
            held.isSent = true;
            return;
        }
        if (!held.isSent || below(4) == 0) {
            truth.runs -= held.isSent ? 1 : 0;
            releaseUnsent(home, held.subject);
        } else {
            home.finish(held.subject, makeAnswer(std::to_string(held.subject.nonce)));
        }
        m_held.erase(m_held.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void releaseUnsent(ticket_home &home, const ticket &subject)
    {
        if (below(2) == 0) {
            home.notRun(subject, makeNotRun());
            return;
        }
        home.refuse(subject, makeNotRun());
        m_truths[subject.nonce].saidNotRun = true;
    }

    void voidOne(const ticket &subject, std::size_t life)
    {
        if (m_lives[life].home->voidTicket(subject, m_wall)) {
            REQUIRE(m_truths[subject.nonce].runs == 0);
            m_truths[subject.nonce].saidNotRun = true;
        }
    }

    void startLife()
    {
        const incarnation_id life{firstLife.value + m_started++};
        m_lives.push_back({life, std::make_unique<ticket_home>("host-a", life, m_capacity)});
    }

    void killOrStart()
    {
        if (m_lives.size() < 2) {
            startLife();
            return;
        }
        std::erase_if(m_held, [](const held_ticket &held) {
            return held.life == 0;
        });
        for (held_ticket &held : m_held) {
            --held.life;
        }
        m_lives.erase(m_lives.begin());
    }

    void moveClock(std::size_t action)
    {
        if (action < 96) {
            m_wall.count += static_cast<std::int64_t>(below(5'000));
        } else {
            m_wall.count += static_cast<std::int64_t>(below(400'000)) - 200'000;
        }
        for (const home_life &each : m_lives) {
            each.home->tick(m_wall);
        }
    }

    std::mt19937_64 m_random;
    std::size_t m_capacity;
    clock_ms m_wall{1'000'000'000};
    std::uint64_t m_started = 0;
    std::vector<home_life> m_lives;
    std::vector<ticket> m_tickets;
    std::vector<held_ticket> m_held;
    std::map<std::uint64_t, ticket_truth> m_truths; ///< By nonce.
};
} // namespace

TEST_CASE("a ticket runs once at most and `not run` is true, over random schedules")
{
    const test::invariant_guard guard;
    int ran = 0;
    for (std::uint64_t seed = 1; seed <= test::seedCount(2'000); ++seed) {
        CAPTURE(seed);
        ticket_world world(seed);
        world.run(400);
        ran += world.ran;
    }
    CHECK(ran > 0);
}

TEST_CASE("a ticket runs once at most under concurrent calls and voids")
{
    constexpr std::uint64_t ticketCount = 2'000;
    ticket_home home("host-a", firstLife, ticketCount);
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
    ticket_home home("host-a", firstLife, capacity);
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

TEST_CASE("another life, another host and an expired or voided ticket are never run")
{
    ticket_home home("host-a", firstLife, capacity);
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
    ticket_home home("host-a", firstLife, 1);
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
