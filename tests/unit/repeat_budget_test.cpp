/** @file repeat_budget_test.cpp Tests of the fleet's bound on repeats, with a chain of services. */

#include "retry/repeat_budget_base.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace cicadamux;

namespace
{

constexpr double fleetRatio = 0.2; ///< Stated by the platform.
constexpr double fleetSlack = 48;
constexpr std::size_t hosts = 13;

/** Simulates a chain of services in which a fraction of all runs fails; each run makes one call to the next service. */
class failing_chain
{
public:
    explicit failing_chain(double failing)
        : m_failing(failing)
    {
        for (repeat_budget &budget : m_budgets) {
            budget = repeat_budget({fleetRatio, fleetSlack / hosts / 2, clock_ms{10'000}});
        }
    }

    /** Sends a request to a service. @param isRepeat Whether it is a call made by a repeated run. */
    void request(std::size_t level, bool isRepeat, clock_ms now, bool isCall = false)
    {
        if (level == names.size()) {
            return;
        }
        repeat_budget &budget = m_budgets[m_random() % hosts];
        requests[level] += 1;
        budget.countRequest(names[level], {isCall, isRepeat ? 1.0 : 0.0}, now);
        repeats[level] += isRepeat ? 1 : 0;
        bool runIsRepeat = isRepeat;
        request(level + 1, runIsRepeat, now, true);
        while (m_chance(m_random) < m_failing && budget.take(names[level], now)) {
            repeats[level] += 1;
            runIsRepeat = true;
            request(level + 1, runIsRepeat, now, true);
        }
    }

    /** Sends one client request to the first service, and to each of the others with a probability of one half. */
    void requestAll(clock_ms now)
    {
        request(0, false, now);
        for (std::size_t level = 1; level < names.size(); ++level) {
            if (m_random() % 2 == 0) {
                request(level, false, now);
            }
        }
    }

    /** Sets the fraction of failing runs and resets the counts. */
    void beginToFail(double failing)
    {
        m_failing = failing;
        requests = {};
        repeats = {};
    }

    static constexpr std::array<std::string_view, 4> names = {"map", "desk", "fees", "find"};
    std::array<double, 4> requests{};
    std::array<double, 4> repeats{};

private:
    double m_failing;
    std::array<repeat_budget, hosts> m_budgets = [] {
        return []<std::size_t... index>(std::index_sequence<index...>)
        {
            return std::array<repeat_budget, hosts>{((void)index, repeat_budget({}))...};
        }
        (std::make_index_sequence<hosts>());
    }();
    std::mt19937_64 m_random{7};
    std::uniform_real_distribution<double> m_chance{0, 1};
};

} // namespace

TEST_CASE("a chain whose every service fails half of its runs keeps the fleet's bound at each service (BUDGET: the calls of a repeat are repeats)")
{
    failing_chain chain(0.5);
    constexpr std::int64_t span = 9'500; // Milliseconds; within one window.
    for (std::int64_t at = 0; at < span; at += 5) {
        chain.request(0, false, clock_ms{1'000'000 + at});
    }
    for (std::size_t level = 0; level < failing_chain::names.size(); ++level) {
        CAPTURE(failing_chain::names[level]);
        CHECK(chain.repeats[level] <= chain.requests[level] * fleetRatio + fleetSlack);
        CHECK(chain.repeats[level] > 0);
    }
}

TEST_CASE("a chain that begins to fail after a calm time keeps the bound in its first window in which full budgets meet what is inherited")
{
    failing_chain chain(0.0);
    constexpr std::int64_t calm = 10'000; // Milliseconds.
    constexpr std::int64_t span = 10'000;
    for (std::int64_t at = 0; at < calm; at += 5) {
        chain.requestAll(clock_ms{1'000'000 + at});
    }
    chain.beginToFail(0.6);
    for (std::int64_t at = calm; at < calm + span; at += 5) {
        chain.requestAll(clock_ms{1'000'000 + at});
    }
    for (std::size_t level = 0; level < failing_chain::names.size(); ++level) {
        CAPTURE(failing_chain::names[level]);
        CHECK(chain.repeats[level] <= chain.requests[level] * fleetRatio + fleetSlack);
    }
}

TEST_CASE("a budget without requests gives out its slack alone and a window's repeats lapse with it")
{
    repeat_budget budget({fleetRatio, 3, clock_ms{10'000}});
    int taken = 0;
    while (budget.take("fees", clock_ms{50'000})) {
        ++taken;
    }
    CHECK(taken == 3);
    CHECK_FALSE(budget.take("fees", clock_ms{59'900}));
    CHECK(budget.take("fees", clock_ms{62'000}));
}
