/** @file running_calls_test.cpp Matching of calls with the runs that made them, and classification of routes by origin. */

#include "sidecar/origin_classifier_base.h"
#include "sidecar/running_calls_base.h"

#include <doctest/doctest.h>

using namespace cicadamux;

TEST_CASE("a call is matched with the run whose deadline it inherits")
{
    running_calls runs;
    runs.add(call_id{1}, clock_ms{1'000}, 0);
    runs.add(call_id{2}, clock_ms{1'040}, 1);
    CHECK(runs.find(clock_ms{1'003}).candidates == std::vector{call_id{1}});
    CHECK(runs.find(clock_ms{1'041}).repeatWeight == 1);
    CHECK_FALSE(runs.find(clock_ms{1'020}).isFound());
    CHECK_FALSE(runs.find(clock_ms{5'000}).isFound());
    runs.remove(call_id{1});
    CHECK_FALSE(runs.find(clock_ms{1'000}).isFound());
}

TEST_CASE("a call that matches two runs has their mean weight and counts as lost for both")
{
    running_calls runs;
    runs.add(call_id{1}, clock_ms{1'000}, 0);
    runs.add(call_id{2}, clock_ms{1'001}, 1);
    const parent_match both = runs.find(clock_ms{1'002});
    CHECK(both.candidates.size() == 2);
    CHECK(both.repeatWeight == 0.5);
    runs.add(call_id{3}, clock_ms{1'030}, 0);
    runs.recordLostCall(both, call_loss::no_capacity);
    runs.recordLostCall(both, call_loss::failed);
    CHECK((runs.lostCall(call_id{1}) == call_loss::no_capacity));
    CHECK((runs.lostCall(call_id{2}) == call_loss::no_capacity));
    CHECK((runs.lostCall(call_id{3}) == call_loss::none));
    runs.remove(call_id{2});
    CHECK((runs.lostCall(call_id{2}) == call_loss::none));
}

TEST_CASE("a route that backend servers call is told from one that clients call though some of their requests fit a run by chance")
{
    origin_classifier origin;
    bool isCall = false;
    for (int index = 0; index < 40; ++index) {
        isCall = origin.observe("called", clock_ms{index % 3 == 0 ? 700 : 600 - index}, index % 3 != 0);
    }
    CHECK(isCall);
    CHECK(origin.observe("called", clock_ms{700}, false)); // Its run has more time left than the route's own time-out.
    for (int index = 0; index < 40; ++index) {
        isCall = origin.observe("clients", clock_ms{index % 4 == 0 ? 500 : 800}, index % 10 == 0);
    }
    CHECK_FALSE(isCall);
    CHECK_FALSE(origin.observe("clients", clock_ms{800}, true));
}
