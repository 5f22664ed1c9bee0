/** @file route_admission_test.cpp Tests of the admission by route with an overloaded downstream service. */

#include "admission/route_admission_base.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>

using namespace cicadamux;

namespace
{

struct route_count {
    int offered = 0;
    int served = 0;
};

/**
 * Simulates requests of two routes. Each request makes five calls to a service with a fixed capacity per step; excess
 * calls are refused at random, and a run fails with its first refused call.
 */
std::array<route_count, 2> overloadDeepService(bool admits, int steps)
{
    constexpr int perStep = 10; // Requests of each route.
    constexpr int capacity = 70; // Calls per step; all requests together make 100.
    constexpr int callsPerRequest = 5;
    std::mt19937_64 random(3);
    route_admission admission({}, [&random] {
        return random();
    });
    std::array<route_count, 2> counts;
    double refused = 0; // Smoothed fraction of the calls, up to the previous step.
    for (int step = 0; step < steps; ++step) {
        int calls = 0;
        for (int request = 0; request < 2 * perStep; ++request) {
            const std::size_t route = request % 2;
            const std::string_view name = route == 0 ? "lookup" : "order";
            const bool isMeasured = step >= steps / 2;
            counts[route].offered += isMeasured ? 1 : 0;
            if (admits && !admission.decide(name, route == 0 ? 1 : 2, false).admitted) {
                continue;
            }
            bool isLost = false;
            for (int call = 0; call < callsPerRequest && !isLost; ++call) {
                ++calls;
                isLost = std::uniform_real_distribution<double>(0, 1)(random) < refused;
            }
            admission.runEnded(name, isLost);
            counts[route].served += isMeasured && !isLost ? 1 : 0;
        }
        refused += 0.3 * (std::max(0.0, 1.0 - static_cast<double>(capacity) / std::max(1, calls)) - refused);
    }
    return counts;
}

double servedPart(const route_count &count)
{
    return static_cast<double>(count.served) / count.offered;
}

} // namespace

TEST_CASE("whole requests refused at the entry serve more than calls refused deep down (a deep service short by three tenths)")
{
    const auto without = overloadDeepService(false, 400);
    const auto with = overloadDeepService(true, 400);
    const double servedWithout = servedPart(without[0]) + servedPart(without[1]);
    const double servedWith = servedPart(with[0]) + servedPart(with[1]);
    MESSAGE("served of both routes: ", servedWithout / 2, " without, ", servedWith / 2, " with");
    CHECK(servedWith > servedWithout);
    CHECK(servedPart(with[0]) >= servedPart(with[1])); // The more urgent route.
    CHECK(servedPart(with[1]) >= 0.25);
}

TEST_CASE("nothing is refused at the entry while runs end well and all is admitted again after an overload")
{
    std::mt19937_64 random(5);
    route_admission admission({}, [&random] {
        return random();
    });
    const auto admitted = [&admission](int requests, bool lost) {
        int count = 0;
        for (int request = 0; request < requests; ++request) {
            if (admission.decide("order", 2, false).admitted) {
                ++count;
                admission.runEnded("order", lost);
            }
        }
        return count;
    };
    CHECK(admitted(200, false) == 200);
    CHECK(admitted(200, true) < 130);
    admitted(300, false);
    CHECK(admitted(100, false) == 100);
}

TEST_CASE("a refused caller is told a time that differs from its neighbour's and has a better chance when it comes back")
{
    std::mt19937_64 random(9);
    route_admission admission({}, [&random] {
        return random();
    });
    admission.decide("order", 2, false);
    for (int run = 0; run < 100; ++run) {
        admission.runEnded("order", true);
    }
    int newOnes = 0;
    int returning = 0;
    std::int64_t least = 1'000'000;
    std::int64_t most = 0;
    for (int request = 0; request < 1'000; ++request) {
        const route_decision decision = admission.decide("order", 2, false);
        newOnes += decision.admitted ? 1 : 0;
        returning += admission.decide("order", 2, true).admitted ? 1 : 0;
        if (!decision.admitted) {
            least = std::min(least, decision.retryAfter.count);
            most = std::max(most, decision.retryAfter.count);
        }
    }
    CHECK(returning > newOnes + 100);
    CHECK(least >= 300);
    CHECK(most - least > 500);
}
