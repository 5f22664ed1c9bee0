/** @file admission_overload_test.cpp Tests of the gate under overload, in virtual time. */

#include "admission_model_base.h"
#include "core/invariant_func.h"

#include <doctest/doctest.h>

#include <array>

using namespace cicadamux;
using namespace cicadamux::test;

namespace cicadamux::test
{
strict_invariants::strict_invariants()
{
    setInvariantHook([](invariant which, std::string_view detail) {
        throw invariant_error(std::string(toString(which)) + ": " + std::string(detail));
    });
}

strict_invariants::~strict_invariants()
{
    setInvariantHook({});
}
} // namespace cicadamux::test

namespace
{
constexpr std::uint32_t slots = 40;
constexpr double capacity = 4; ///< Calls per millisecond: 40 slots, 10 ms each.

const std::vector<rank_rule> ranks = {{"urgent", true, 100}, {"counter", true, 100}, {"lookup", false, 3}, {"browse", false, 1}};

arrival_stream urgent(const std::string &callClass, double rate)
{
    return {.rank = 0, .isProtected = true, .callClass = callClass, .rate = rate};
}

arrival_stream lesser(std::uint8_t rank, const std::string &callClass, double rate)
{
    return {.rank = rank, .isProtected = false, .callClass = callClass, .rate = rate};
}

/** A simulation with the ranks above and announced slots. */
struct overload_run : gate_model {
    explicit overload_run(std::uint64_t seed)
        : gate_model({}, seed)
    {
        subject.setRanks(ranks);
        subject.setAnnouncedSlots(slots);
    }

    /** Runs for a span. @return Its goodput relative to the capacity. */
    double goodput(double span)
    {
        resetCounts();
        run(span);
        return static_cast<double>(answered()) / (span * capacity);
    }
};
} // namespace

TEST_CASE("admission: the limit reaches the announced slots of a healthy backend server, and never exceeds them")
{
    const strict_invariants strict;
    overload_run run(1);
    run.addStream(lesser(3, "browse", 2 * capacity));
    run.run(2'000);
    CHECK(run.subject.snapshot(run.now()).limit == slots);
    CHECK(run.goodput(10'000) >= 0.95);
    CHECK(run.subject.snapshot(run.now()).limit == slots);
}

TEST_CASE("admission: goodput at five times the capacity stays, protected work is whole and waits briefly")
{
    const strict_invariants strict;
    overload_run run(2);
    const std::size_t hold = run.addStream(urgent("hold", 0.3 * capacity));
    const std::size_t browse = run.addStream(lesser(3, "browse", 4.7 * capacity));
    run.run(2'000);
    const double goodput = run.goodput(20'000);
    const double meanWait = static_cast<double>(run.counts[browse].waited) / static_cast<double>(run.counts[browse].admitted);
    MESSAGE("overload x5: goodput_ratio=" << goodput << " protected_served_ratio=" << run.servedFraction(hold)
                                          << " longest_wait_ms=" << run.counts[hold].longestWait << " mean_wait_of_browse_ms=" << meanWait);
    CHECK(goodput >= 0.9);
    CHECK(run.servedFraction(hold) >= 0.999);
    CHECK(meanWait <= 20);
    CHECK(run.orderViolations == 0);
}

TEST_CASE("admission: goodput is back within 2 s after a backend server was ten times slower for 20 s")
{
    const strict_invariants strict;
    overload_run run(3);
    const std::size_t hold = run.addStream(urgent("hold", 0.05 * capacity));
    run.addStream(lesser(3, "browse", 1.5 * capacity));
    run.run(5'000);
    run.server.slowness = 10;
    run.resetCounts();
    run.run(20'000);
    const double slowProtected = run.servedFraction(hold);
    const double slowGoodput = static_cast<double>(run.answered()) / (20'000 * capacity / 10);
    run.server.slowness = 1;
    int recovery = 0;
    while (run.goodput(100) < 0.95 && recovery < 10'000) {
        recovery += 100;
    }
    MESSAGE("slow x10: goodput_ratio=" << slowGoodput << " protected_served_ratio=" << slowProtected << " recovery_ms=" << recovery);
    CHECK(recovery <= 2'000);
    CHECK(slowGoodput >= 0.9);
    CHECK(slowProtected >= 0.99);
    CHECK(run.goodput(5'000) >= 0.9);
    CHECK(run.orderViolations == 0);
}

TEST_CASE("admission: goodput is back within 2 s after slot times beyond the deadline, a pause, or a lost backend server")
{
    const strict_invariants strict;
    const std::array<std::function<void(overload_run &)>, 3> faults = {
        [](overload_run &run) {
            run.server.slowness = 200;
            run.run(10'000);
            run.server.slowness = 1;
            run.run(3'000); // Until the slow calls in progress have ended.
        },
        [](overload_run &run) {
            run.pause(5'000);
        },
        [](overload_run &run) {
            run.loseServer();
        },
    };
    for (std::size_t number = 0; number < faults.size(); ++number) {
        CAPTURE(number);
        overload_run run(10 + number);
        run.addStream(urgent("hold", 0.5 * capacity));
        run.addStream(lesser(3, "browse", capacity));
        run.run(3'000);
        faults[number](run);
        run.run(2'000);
        CHECK(run.goodput(3'000) >= 0.95);
        CHECK(run.servedFraction(0) >= 0.99);
    }
}

TEST_CASE("admission: under overload the roots below the level are admitted and the others refused at arrival")
{
    const strict_invariants strict;
    overload_run run(14);
    run.addStream(lesser(3, "browse", 3 * capacity));
    run.run(3'000);
    const std::uint16_t level = run.subject.snapshot(run.now()).level.subLevel;
    REQUIRE(level < subLevelCount);
    std::vector<gate_decision> decisions;
    constexpr std::uint64_t firstId = 1'000'000'000;
    for (std::uint64_t id = firstId; id < firstId + 300; ++id) {
        gate_call call{.call = call_id{id}, .root = root_id{id}, .rank = rank_id{3}, .callClass = "browse", .deadline = run.now() + clock_ms{1'000}};
        decisions.clear();
        run.subject.submit(call, run.now(), decisions);
        const bool isRefused = !decisions.empty() && decisions.front().call == call.call && !decisions.front().admitted;
        CHECK(isRefused == (subLevelOf(call.root) >= level));
    }
}

TEST_CASE("admission: a flood of the most urgent rank leaves its other classes their part and shuts out all lesser work")
{
    const strict_invariants strict;
    overload_run run(4);
    const std::size_t flood = run.addStream(urgent("hold", 5 * capacity));
    const std::size_t fee = run.addStream(urgent("fee", 0.3 * capacity));
    const std::size_t warranty = run.addStream(urgent("warranty", 0.2 * capacity));
    const std::size_t browse = run.addStream(lesser(3, "browse", capacity));
    run.run(2'000);
    const double goodput = run.goodput(20'000);
    MESSAGE("flood of rank 0: goodput_ratio=" << goodput << " flood=" << run.servedFraction(flood) << " fee=" << run.servedFraction(fee)
                                              << " warranty=" << run.servedFraction(warranty) << " browse=" << run.servedFraction(browse));
    CHECK(run.servedFraction(fee) >= 0.99);
    CHECK(run.servedFraction(warranty) >= 0.99);
    CHECK(run.counts[browse].admitted == 0);
    CHECK(goodput >= 0.9);
    CHECK(run.orderViolations == 0);
}

TEST_CASE("admission: backlogged classes of a rank share it evenly")
{
    const strict_invariants strict;
    for (const bool isProtected : {true, false}) {
        overload_run run(5);
        constexpr std::size_t classCount = 5;
        for (std::size_t number = 0; number < classCount; ++number) {
            arrival_stream stream = urgent("class" + std::to_string(number), capacity * (0.5 + static_cast<double>(number)));
            stream.isProtected = isProtected;
            run.addStream(stream);
        }
        run.run(2'000);
        run.goodput(5'000);
        for (const stream_count &count : run.counts) {
            const double share = static_cast<double>(count.answered) / static_cast<double>(run.answered());
            CHECK(share >= 0.8 / classCount);
        }
    }
}

TEST_CASE("admission: ranks below the protected ones divide what is left by effort")
{
    const strict_invariants strict;
    overload_run run(6);
    run.addStream(urgent("hold", 0.5 * capacity));
    const std::size_t lookup = run.addStream(lesser(2, "lookup", 3 * capacity));
    const std::size_t browse = run.addStream(lesser(3, "browse", 3 * capacity));
    run.run(2'000);
    run.goodput(20'000);
    const double ratio = static_cast<double>(run.counts[lookup].answered) / static_cast<double>(run.counts[browse].answered);
    MESSAGE("effort 3 to 1: answered " << ratio << " to 1");
    CHECK(ratio >= 3 * 0.8);
    CHECK(ratio <= 3 / 0.8);
    CHECK(run.orderViolations == 0);
}

TEST_CASE("admission: a late-ok lookup isn't lost to its deadline under overload")
{
    const strict_invariants strict;
    overload_run run(7);
    arrival_stream patient = lesser(2, "lookup", 0.2 * capacity);
    patient.lateOk = true;
    patient.deadline = 1;
    const std::size_t lookup = run.addStream(patient);
    run.addStream(lesser(3, "browse", 5 * capacity));
    run.run(2'000);
    run.goodput(10'000);
    CHECK(run.servedFraction(lookup) >= 0.99);
}

TEST_CASE("admission: a backend server with fewer slots than announced is found out, by sheds and by latency")
{
    const strict_invariants strict;
    for (const bool sheds : {true, false}) {
        CAPTURE(sheds);
        overload_run run(8);
        run.server.slots = slots / 4;
        run.server.shedsExcess = sheds;
        run.addStream(lesser(3, "browse", 2 * capacity));
        run.run(5'000);
        const double goodput = run.goodput(20'000) * 4;
        const gate_snapshot snapshot = run.subject.snapshot(run.now());
        MESSAGE("a quarter of the slots, sheds=" << sheds << ": goodput_ratio=" << goodput << " limit=" << snapshot.limit
                                                 << " reason=" << snapshot.limitReason);
        CHECK(snapshot.limit < slots);
        CHECK(goodput >= 0.8);
        CHECK(run.counts[0].late * 10 <= run.counts[0].admitted);
        run.server.slots = slots;
        run.run(2'000);
        CHECK(run.goodput(5'000) >= 0.95);
    }
}

TEST_CASE("admission: without admission everything goes through and is counted")
{
    gate_settings settings;
    settings.enabled = false;
    gate_model run(settings, 9);
    run.addStream(lesser(3, "browse", capacity));
    run.run(1'000);
    CHECK(run.counts[0].admitted == run.counts[0].offered);
    CHECK(run.subject.snapshot(run.now()).inUse > 0);
}
