/** @file admission_random_test.cpp Tests of the gate with random schedules, and of sub-levels in a chain of gates. */

#include "admission_model_base.h"
#include "core/invariant_func.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
/** A simulation whose load, faults and changes of settings are drawn from one seed. */
class random_schedule
{
public:
    explicit random_schedule(std::uint64_t seed)
        : m_random(seed)
        , m_settings(drawSettings())
        , run(m_settings, seed)
    {
        changeRanks();
        run.server.slots = static_cast<std::uint32_t>(draw(1, 64));
        run.server.serviceTime = static_cast<double>(draw(1, 40));
        run.subject.setAnnouncedSlots(run.server.slots);
        const std::uint64_t streamCount = draw(2, 8);
        for (std::uint64_t number = 0; number < streamCount; ++number) {
            addStream();
        }
    }

    void step()
    {
        change();
        run.run(static_cast<double>(draw(20, 800)));
        const gate_snapshot snapshot = run.subject.snapshot(run.now());
        CHECK(snapshot.waiting <= m_settings.maxWaiting);
        CHECK(snapshot.limit >= m_settings.minLimit);
        CHECK(snapshot.limit <= m_settings.maxLimit);
        CHECK(run.orderViolations == 0);
    }

    /** Lets all calls end, then checks that no call is left and each call got exactly one decision. */
    void drain()
    {
        for (arrival_stream &stream : run.streams) {
            stream.rate = 0;
        }
        run.server = {};
        constexpr double longEnough = 120'000;
        run.run(longEnough);
        const gate_snapshot snapshot = run.subject.snapshot(run.now());
        CHECK(snapshot.waiting == 0);
        CHECK(snapshot.inUse == 0);
        for (std::size_t index = 0; index < run.streams.size(); ++index) {
            const stream_count &count = run.counts[index];
            CHECK(count.admitted + count.refused == count.offered);
            const bool isBounded = !run.streams[index].isProtected && !run.streams[index].lateOk;
            CHECK((!isBounded || count.longestWait <= m_settings.maxWait.count));
        }
    }

private:
    std::uint64_t draw(std::uint64_t least, std::uint64_t most)
    {
        return std::uniform_int_distribution<std::uint64_t>(least, most)(m_random);
    }

    gate_settings drawSettings()
    {
        gate_settings settings;
        settings.initialLimit = static_cast<std::uint32_t>(draw(1, 64));
        settings.minLimit = static_cast<std::uint32_t>(draw(1, 4));
        settings.maxLimit = static_cast<std::uint32_t>(draw(4, 128));
        settings.maxWaiting = static_cast<std::uint32_t>(draw(1, 300));
        settings.maxWait = clock_ms{static_cast<std::int64_t>(draw(5, 200))};
        return settings;
    }

    void addStream()
    {
        arrival_stream stream;
        stream.isProtected = draw(0, 1) == 0;
        stream.rank = static_cast<std::uint8_t>(stream.isProtected ? draw(0, 2) : draw(3, 5));
        stream.callClass = "class" + std::to_string(draw(0, 3));
        stream.deadline = static_cast<std::int64_t>(draw(1, 2'000));
        stream.lateOk = draw(0, 4) == 0;
        stream.depth = static_cast<std::uint8_t>(draw(0, 8));
        stream.rate = drawRate();
        run.addStream(stream);
    }

    double drawRate()
    {
        const double capacity = run.server.slots / run.server.serviceTime;
        constexpr double mostRate = 6; // Calls per millisecond; keeps the run short.
        return std::min(mostRate, capacity * static_cast<double>(draw(0, 200)) / 100);
    }

    void changeRanks()
    {
        std::vector<rank_rule> ranks;
        for (std::uint64_t rank = 0; rank < 6; ++rank) {
            ranks.push_back({"rank" + std::to_string(rank), rank < 3, static_cast<double>(draw(0, 10))});
        }
        run.subject.setRanks(ranks);
    }

    void change()
    {
        switch (draw(0, 9)) {
        case 0:
            run.server.slowness = draw(0, 1) == 0 ? 1 : 10;
            break;
        case 1:
            run.server.shedsExcess = !run.server.shedsExcess;
            break;
        case 2:
            run.server.slots = static_cast<std::uint32_t>(draw(1, 64));
            break;
        case 3:
            run.pause(static_cast<double>(draw(1, 4'000)));
            break;
        case 4:
            run.loseServer();
            break;
        case 5:
            run.subject.setAnnouncedSlots(static_cast<std::uint32_t>(draw(0, 64)));
            break;
        case 6:
            changeRanks();
            break;
        case 7:
            run.server.failureProbability = draw(0, 2) == 0 ? 0.5 : 0;
            break;
        default:
            run.streams[draw(0, run.streams.size() - 1)].rate = drawRate();
            break;
        }
    }

    std::mt19937_64 m_random;
    gate_settings m_settings;

public:
    gate_model run;
};

/** Fractions of the requests that pass all gates of a chain. */
struct chain_survival {
    double byRoot = 0; ///< If all gates refuse by the sub-level of the root.
    double atRandom = 0; ///< If each gate refuses the same fraction, but at random.
};

chain_survival passChain(std::span<const std::uint16_t> subLevels, std::mt19937_64 &random)
{
    constexpr int rootCount = 2'000;
    chain_survival result;
    for (int number = 0; number < rootCount; ++number) {
        const std::uint16_t subLevel = subLevelOf(root_id{random() | 1});
        bool byRoot = true;
        bool atRandom = true;
        for (const std::uint16_t level : subLevels) {
            byRoot = byRoot && subLevel < level;
            atRandom = atRandom && random() % subLevelCount < level;
        }
        result.byRoot += byRoot ? 1.0 / rootCount : 0;
        result.atRandom += atRandom ? 1.0 / rootCount : 0;
    }
    return result;
}
} // namespace

TEST_CASE("admission: random schedules of load and faults and changed settings keep all invariants")
{
    const strict_invariants strict;
    constexpr int steps = 12;
    for (std::uint64_t seed = 1; seed <= seedCount(60); ++seed) {
        CAPTURE(seed);
        random_schedule schedule(seed);
        for (int number = 0; number < steps; ++number) {
            schedule.step();
        }
        schedule.drain();
    }
}

TEST_CASE("admission: at depth 8 whole requests survive by sub-levels of the root")
{
    constexpr std::size_t depth = 8;
    std::vector<std::unique_ptr<gate_model>> chain;
    for (std::size_t layer = 0; layer < depth; ++layer) {
        chain.push_back(std::make_unique<gate_model>(gate_settings{}, layer + 1));
        chain.back()->subject.setAnnouncedSlots(chain.back()->server.slots);
        const double capacity = chain.back()->server.slots / chain.back()->server.serviceTime;
        chain.back()->addStream({.rank = 1, .callClass = "browse", .rate = 2 * capacity});
        chain.back()->run(2'000);
    }
    std::mt19937_64 random(1);
    chain_survival sum;
    constexpr int instants = 20;
    for (int number = 0; number < instants; ++number) {
        std::array<std::uint16_t, depth> subLevels{};
        for (std::size_t layer = 0; layer < depth; ++layer) {
            chain[layer]->run(100);
            subLevels[layer] = chain[layer]->subject.snapshot(chain[layer]->now()).level.subLevel;
        }
        const chain_survival survival = passChain(subLevels, random);
        sum.byRoot += survival.byRoot / instants;
        sum.atRandom += survival.atRandom / instants;
    }
    MESSAGE("depth 8 at twice the capacity: whole requests by root=" << sum.byRoot << " at random=" << sum.atRandom);
    CHECK(sum.byRoot >= 0.35);
    CHECK(sum.atRandom < 0.1);
}
