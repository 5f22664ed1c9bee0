/** @file admission_level_cache_test.cpp Tests of the level cache: early refusal by the levels of other gates. */

#include "admission/level_cache_base.h"

#include <doctest/doctest.h>

#include <thread>

using namespace cicadamux;

namespace
{
constexpr rank_id lesserRank{2};
constexpr rank_id leastRank{3};
const std::vector<std::string> services = {"feebox", "pitchdesk"};

received_level received(const std::string &host, rank_id rank, std::uint16_t subLevel, std::int64_t age = 0)
{
    return {"pitchdesk", host, {rank, subLevel}, clock_ms{age}};
}

/** @return How many of 1000 roots are refused. */
int refusedRoots(const level_cache &cache, rank_id rank, bool isProtected, clock_ms now)
{
    int refused = 0;
    for (std::uint64_t root = 1; root <= 1000; ++root) {
        refused += cache.check(services, rank, root_id{root}, isProtected, now).refused ? 1 : 0;
    }
    return refused;
}
} // namespace

TEST_CASE("lesser work is refused early only while all gates of a service with a current level refuse it")
{
    level_cache cache;
    const clock_ms now{5'000};
    CHECK(refusedRoots(cache, leastRank, false, now) == 0);
    cache.record(received("a", lesserRank, subLevelCount), now);
    const int refused = refusedRoots(cache, leastRank, false, now);
    CHECK(refused >= 950);
    CHECK(refused < 1000);
    CHECK(refusedRoots(cache, lesserRank, false, now) == 0);
    CHECK(refusedRoots(cache, leastRank, true, now) == 0);
    CHECK(cache.check(services, leastRank, root_id{1}, false, now).service == "pitchdesk");
    CHECK(cache.check(services, leastRank, root_id{1}, false, now).rankAdmitted == lesserRank.value);
    cache.record(received("b", leastRank, subLevelCount), now);
    CHECK(refusedRoots(cache, leastRank, false, now) == 0);
}

TEST_CASE("a sub-level refuses the roots at and above it")
{
    level_cache cache;
    const clock_ms now{5'000};
    constexpr std::uint16_t half = subLevelCount / 2;
    cache.record(received("a", leastRank, half), now);
    for (std::uint64_t root = 1; root <= 1000; ++root) {
        if (subLevelOf(root_id{root}) < half) {
            CHECK_FALSE(cache.check(services, leastRank, root_id{root}, false, now).refused);
        }
    }
    const int refused = refusedRoots(cache, leastRank, false, now);
    CHECK(refused > 400);
    CHECK(refused < 600);
}

TEST_CASE("a level expires, and an older one never replaces a younger one")
{
    level_cache cache;
    const clock_ms now{5'000};
    cache.record(received("a", lesserRank, subLevelCount, 100), now);
    cache.record(received("a", leastRank, subLevelCount, 300), now);
    CHECK(refusedRoots(cache, leastRank, false, now) > 0);
    CHECK(cache.currentLevels(now, 10).size() == 1);
    CHECK(cache.currentLevels(now, 10).front().age == clock_ms{100});
    CHECK(refusedRoots(cache, leastRank, false, now + clock_ms{1'000}) == 0);
    CHECK(cache.currentLevels(now + clock_ms{1'000}, 10).empty());
}

TEST_CASE("the level cache stays bounded and passes on the youngest levels first")
{
    level_cache cache;
    const clock_ms now{5'000};
    for (int number = 0; number < 20'000; ++number) {
        const std::string text = std::to_string(number);
        cache.record({"service" + text, "host", {leastRank, subLevelCount}, clock_ms{number % 500}}, now);
        cache.record({"one", "host" + text, {leastRank, subLevelCount}, clock_ms{number % 500}}, now);
    }
    constexpr std::size_t bound = 1024 + 64;
    CHECK(cache.currentLevels(now, 100'000).size() <= bound);
    const std::vector<received_level> few = cache.currentLevels(now, 3);
    REQUIRE(few.size() == 3);
    CHECK(few.front().age <= few.back().age);
}

TEST_CASE("the level cache stays consistent while many threads record and check and read levels")
{
    level_cache cache;
    const auto work = [&cache](std::uint64_t seed) {
        for (std::uint64_t number = 0; number < 20'000; ++number) {
            const clock_ms now{static_cast<std::int64_t>(1'000 + number)};
            const std::string text = std::to_string((number * seed) % 300);
            cache.record({"service" + text, "host" + std::to_string(number % 70), {leastRank, 0}, {}}, now);
            cache.check(services, leastRank, root_id{number + 1}, false, now);
            if (number % 100 == 0) {
                cache.currentLevels(now, 10);
            }
        }
    };
    std::vector<std::thread> threads;
    for (const std::uint64_t seed : {1, 3, 7, 11}) {
        threads.emplace_back(work, seed);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(cache.currentLevels(clock_ms{21'000}, 100'000).size() > 300);
}
