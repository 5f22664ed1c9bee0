/** @file retry_budget_test.cpp Tests of the budget of retries by external callers. */

#include "retry/caller_budget_base.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace cicadamux;

TEST_CASE("admitted repeats stay within a tenth of the first attempts and the burst")
{
    constexpr std::uint64_t burst = 3;
    for (std::uint64_t seed = 1; seed <= test::seedCount(200); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        caller_budget budget;
        const std::string caller = "10.0.0." + std::to_string(seed);
        std::uint64_t firsts = 0;
        std::uint64_t repeats = 0;
        clock_ms now{1'000};
        while (firsts < 200) {
            const std::uint64_t request = random();
            REQUIRE(budget.admit(caller, request, now));
            ++firsts;
            budget.recordUnanswered(caller, request, now);
            for (std::uint64_t retry = random() % 8; retry > 0; --retry) {
                now.count += static_cast<std::int64_t>(random() % 20);
                if (budget.admit(caller, request, now)) {
                    ++repeats;
                    budget.recordUnanswered(caller, request, now);
                }
            }
            REQUIRE(repeats * 10 <= firsts + burst * 10);
        }
        CHECK(repeats > 0);
    }
}

TEST_CASE("rare failures may be repeated, and other callers aren't affected")
{
    caller_budget budget;
    for (std::uint64_t request = 0; request < 500; ++request) {
        REQUIRE(budget.admit("a", request, {0}));
        if (request % 20 == 0) {
            budget.recordUnanswered("a", request, {0});
            REQUIRE(budget.admit("a", request, {10}));
        }
    }
    for (int repeat = 0; repeat < 50; ++repeat) {
        budget.recordUnanswered("b", 1, {0});
        budget.admit("b", 1, {0});
    }
    CHECK_FALSE(budget.admit("b", 1, {0}));
    CHECK(budget.admit("c", 1, {0}));
    CHECK(budget.admit("b", 2, {0}));
    CHECK(budget.admit("b", 1, {10'000}));
}
