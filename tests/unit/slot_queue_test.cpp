/** @file slot_queue_test.cpp Tests of the slot queue. */

#include "admission/slot_queue_base.h"
#include "support/invariant_guard_type.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
constexpr clock_ms start{1'000};

slot_request makeRequest(std::uint64_t id, std::uint32_t rank, std::int64_t waitLimit = 10'000)
{
    return {call_id{id}, rank, start + clock_ms{20'000}, start + clock_ms{waitLimit}};
}

const slot_decision *find(const std::vector<slot_decision> &decisions, std::uint64_t id)
{
    const auto found = std::ranges::find(decisions, call_id{id}, &slot_decision::call);
    return found == decisions.end() ? nullptr : &*found;
}
} // namespace

TEST_CASE("nothing is admitted before a server is there and what waits is refused as not run when it drains (DRAIN)")
{
    slot_queue queue(slot_queue_settings{});
    std::vector<slot_decision> decisions;
    queue.submit(makeRequest(1, 0), start, decisions);
    REQUIRE(find(decisions, 1) != nullptr);
    CHECK_FALSE(find(decisions, 1)->admitted);
    queue.setSlots(2, start, decisions); // One is reserved for health checks.
    queue.submit(makeRequest(2, 0), start, decisions);
    queue.submit(makeRequest(3, 0), start, decisions);
    CHECK(find(decisions, 2)->admitted);
    CHECK(find(decisions, 3) == nullptr);
    queue.close(outcome_reason::draining, start, decisions);
    CHECK((find(decisions, 3)->reason == outcome_reason::draining));
    decisions.clear();
    queue.finish(call_id{2}, true, start, decisions);
    queue.submit(makeRequest(4, 0), start, decisions);
    CHECK((find(decisions, 4)->reason == outcome_reason::draining));
}

TEST_CASE("a slot goes to the most urgent rank inside of it to the earliest deadline (a burst of lesser work)")
{
    slot_queue queue(slot_queue_settings{});
    std::vector<slot_decision> decisions;
    queue.setSlots(2, start, decisions);
    queue.submit(makeRequest(1, 2), start, decisions);
    queue.submit(makeRequest(2, 2), start, decisions);
    queue.submit(makeRequest(3, 0), start, decisions);
    slot_request early = makeRequest(4, 0);
    early.deadline = start + clock_ms{500};
    queue.submit(early, start, decisions);
    std::vector<std::uint64_t> order;
    for (std::uint64_t running : {1U, 4U, 3U}) {
        decisions.clear();
        queue.finish(call_id{running}, true, start + clock_ms{10}, decisions);
        order.push_back(decisions.front().call.value);
    }
    CHECK(order == std::vector<std::uint64_t>{4, 3, 2});
}

TEST_CASE("a call that can't expect a slot in time is refused at once and told when room is expected (held requests)")
{
    slot_queue_settings settings;
    settings.initialMeanRun = {100};
    slot_queue queue(settings);
    std::vector<slot_decision> decisions;
    queue.setSlots(2, start, decisions);
    queue.submit(makeRequest(1, 1), start, decisions);
    queue.submit(makeRequest(2, 1), start, decisions); // Expects a slot in 100 ms.
    queue.submit(makeRequest(3, 1, 150), start, decisions); // Would expect a slot in 200 ms only.
    REQUIRE(find(decisions, 3) != nullptr);
    CHECK((find(decisions, 3)->reason == outcome_reason::overloaded));
    CHECK(find(decisions, 3)->retryAfter >= clock_ms{100});
    queue.submit(makeRequest(4, 0, 150), start, decisions); // Is ahead of call 2.
    CHECK(find(decisions, 4) == nullptr);
    queue.tick(start + clock_ms{150}, decisions);
    CHECK((find(decisions, 4)->reason == outcome_reason::queue_timeout));
    CHECK(find(decisions, 2) == nullptr);
}

TEST_CASE("a flood of one kind of call leaves the others of its rank their slots (a route starved by the calls of another)")
{
    constexpr std::uint32_t slots = 41; // One is reserved.
    constexpr std::uint32_t flood = 1;
    constexpr std::uint32_t rare = 2;
    constexpr int steps = 5'000; // Milliseconds.
    slot_queue_settings settings;
    settings.initialMeanRun = {30};
    slot_queue queue(settings);
    std::vector<slot_decision> decisions;
    clock_ms now = start;
    queue.setSlots(slots, now, decisions);
    std::uint64_t next = 0;
    std::map<std::uint64_t, std::uint32_t> groups;
    std::multimap<clock_ms, std::uint64_t> ends;
    std::map<std::uint32_t, int> asked;
    std::map<std::uint32_t, int> served;
    const auto submit = [&](std::uint32_t group, std::int64_t timeLeft, std::int64_t wait) {
        groups[++next] = group;
        ++asked[group];
        queue.submit({call_id{next}, 1, now + clock_ms{timeLeft}, now + clock_ms{wait}, group}, now, decisions);
    };
    for (int step = 0; step < steps; ++step) {
        now += clock_ms{1};
        submit(flood, 700, 110); // Two a millisecond of 30 ms each: half more than the slots can run, with early deadlines.
        submit(flood, 700, 110);
        if (step % 40 == 0) {
            submit(rare, 800, 37); // Works 96 ms and may wait an eighth of its target.
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            const std::uint64_t ended = ends.begin()->second;
            ends.erase(ends.begin());
            queue.finish(call_id{ended}, true, now, decisions);
        }
        queue.tick(now, decisions);
        for (const slot_decision &decision : std::exchange(decisions, {})) {
            if (decision.admitted) {
                const std::uint32_t group = groups[decision.call.value];
                ++served[group];
                ends.emplace(now + clock_ms{group == flood ? 30 : 96}, decision.call.value);
            }
        }
    }
    CHECK(served[rare] == asked[rare]);
    CHECK(served[flood] > asked[flood] / 2); // Of two thirds that fit.
}

TEST_CASE("random commands keep the limit the order of ranks and one decision for each call")
{
    const invariant_guard guard;
    for (std::uint64_t seed = 1; seed <= seedCount(200); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        slot_queue queue(slot_queue_settings{});
        std::vector<slot_decision> decisions;
        std::set<std::uint64_t> decided;
        std::vector<call_id> running;
        clock_ms now = start;
        std::uint64_t next = 0;
        const std::uint32_t slots = 2 + random() % 6;
        queue.setSlots(slots, now, decisions);
        for (int step = 0; step < 400; ++step) {
            now += clock_ms{static_cast<std::int64_t>(random() % 20)};
            decisions.clear();
            if (random() % 2 == 0 || running.empty()) {
                ++next;
                queue.submit({call_id{next},
                              static_cast<std::uint32_t>(random() % 3),
                              now + clock_ms{500},
                              now + clock_ms{100},
                              static_cast<std::uint32_t>(random() % 4)},
                             now,
                             decisions);
            } else {
                const std::size_t index = random() % running.size();
                const call_id ended = running[index];
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
                queue.finish(ended, true, now, decisions);
            }
            queue.tick(now, decisions);
            for (const slot_decision &decision : decisions) {
                CHECK(decided.insert(decision.call.value).second);
                if (decision.admitted) {
                    running.push_back(decision.call);
                }
            }
            CHECK(running.size() < slots);
            CHECK(queue.snapshot(start).inUse == running.size());
        }
    }
}

// A server got several times the rate that it stated, as long as slots were free (LIMIT).
TEST_CASE("calls never exceed the rate that a server states in any four seconds and use most of it (LIMIT)")
{
    constexpr clock_ms window{4'000};
    for (std::uint64_t seed = 1; seed <= seedCount(20); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        slot_queue queue(slot_queue_settings{});
        std::vector<slot_decision> decisions;
        queue.setSlots(60, start, decisions);
        const double rate = seed == 1 ? 0 : std::uniform_real_distribution<double>(0, 40)(random);
        queue.setRate(rate, start, decisions);
        std::vector<clock_ms> admitted;
        std::uint64_t next = 0;
        constexpr std::int64_t end = 20'000;
        for (std::int64_t at = 0; at < end; at += 1 + static_cast<std::int64_t>(random() % 20)) {
            const clock_ms now = start + clock_ms{at};
            queue.submit({call_id{++next}, static_cast<std::uint32_t>(random() % 3), now + clock_ms{2'000}, now + clock_ms{300}}, now, decisions);
            queue.tick(now, decisions);
            while (!decisions.empty()) {
                for (const slot_decision &decision : std::exchange(decisions, {})) {
                    if (decision.admitted) {
                        admitted.push_back(now);
                        queue.finish(decision.call, true, now, decisions);
                    }
                }
            }
        }
        for (std::size_t first = 0; first < admitted.size(); ++first) {
            const auto last = std::ranges::lower_bound(admitted, admitted[first] + window);
            const auto count = static_cast<double>(std::distance(admitted.begin() + static_cast<std::ptrdiff_t>(first), last));
            REQUIRE(count <= 1.5 * rate * 4 + 5);
        }
        constexpr double seconds = 20;
        CHECK(static_cast<double>(admitted.size()) >= 0.8 * rate * seconds - 2);
        CHECK(admitted.size() > 1); // Also at a rate of 0: only an answer can lift it.
    }
}

TEST_CASE("what a stated rate leaves no room for is refused at once with its turn and urgent calls go first")
{
    slot_queue queue(slot_queue_settings{});
    std::vector<slot_decision> decisions;
    queue.setSlots(60, start, decisions);
    queue.setRate(4, start, decisions); // A turn every 250 ms, and one at once.
    queue.submit(makeRequest(9, 2), start, decisions);
    REQUIRE(find(decisions, 9)->admitted);
    queue.submit(makeRequest(1, 2, 1'000), start, decisions);
    queue.submit(makeRequest(2, 0, 1'000), start, decisions);
    queue.submit(makeRequest(3, 2, 100), start, decisions);
    REQUIRE(find(decisions, 3) != nullptr);
    CHECK_FALSE(find(decisions, 3)->admitted);
    CHECK(find(decisions, 3)->retryAfter == clock_ms{750}); // After the two that wait.
    decisions.clear();
    queue.tick(start + clock_ms{250}, decisions);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].call == call_id{2});
    queue.setRate(std::nullopt, start + clock_ms{300}, decisions);
    REQUIRE(decisions.size() == 2); // Nothing holds the other back any more.
    CHECK(decisions[1].call == call_id{1});
    const slot_snapshot snapshot = queue.snapshot(start);
    CHECK(snapshot.usableLimit == snapshot.limit);
}
