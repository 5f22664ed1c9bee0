/** @file operator_refusal_log_test.cpp Tests of the bounded log of refusals. */

#include "operator/refusal_log_base.h"

#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>

using namespace cicadamux;

namespace
{
constexpr clock_ms start{1'000'000};

refusal_record record(std::uint64_t root, std::string service, std::uint8_t rank)
{
    refusal_record result;
    result.root = {root};
    result.service = std::move(service);
    result.callClass = "c";
    result.rank = {rank};
    result.reason = outcome_reason::overloaded;
    return result;
}
} // namespace

TEST_CASE("refusals are found by root until newer ones need their place, and the log says how far back it reaches")
{
    refusal_log log(2, start);
    log.add(record(1, "a", 0), start + clock_ms{10});
    CHECK(log.trace({1}, start + clock_ms{50}).reach == clock_ms{50});
    log.add(record(2, "a", 0), start + clock_ms{20});
    log.add(record(3, "b", 0), start + clock_ms{30});
    CHECK(log.trace({1}, start + clock_ms{50}).records.empty());
    CHECK(log.trace({1}, start + clock_ms{50}).reach == clock_ms{30});
    CHECK(log.trace({3}, start).records.at(0).service == "b");
    REQUIRE(log.latest("", 9).size() == 2);
    CHECK(log.latest("", 9)[0].root == root_id{3});
    CHECK(log.latest("a", 9).size() == 1);
}

TEST_CASE("counts of a span equal a plain count of the refusals in its seconds")
{
    for (std::uint64_t seed = 1; seed <= test::seedCount(60); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        refusal_log log(16, start);
        std::map<std::int64_t, std::map<std::string, std::uint64_t>> plain; // Second, service, refusals.
        clock_ms now = start;
        for (int step = 0; step < 300; ++step) {
            now += {static_cast<std::int64_t>(random() % (step % 50 == 0 ? 400'000 : 900))};
            const std::string service(1, static_cast<char>('a' + random() % 3));
            log.add(record(step + 1, service, 0), now);
            ++plain[now.count / 1000][service];
        }
        const clock_ms span{static_cast<std::int64_t>(1 + random() % 900'000)};
        std::uint64_t expected = 0;
        for (const auto &[second, services] : plain) {
            const auto found = services.find("b");
            expected += second > now.count / 1000 - (span.count + 999) / 1000 && found != services.end() ? found->second : 0;
        }
        const refusal_summary summary = log.summarize("b", span, now);
        CHECK((summary.counts.empty() ? 0 : summary.counts[0].count) == expected);
        CHECK(summary.counts.size() <= 1);
    }
}

TEST_CASE("refusals of ever new keys stay bounded and are all counted")
{
    refusal_log log(4, start);
    constexpr int keys = 10'000;
    for (int number = 0; number < keys; ++number) {
        log.add(record(1, "s" + std::to_string(number), 0), start + clock_ms{number / 10});
    }
    const refusal_summary summary = log.summarize("", {10'000}, start + clock_ms{1'000});
    CHECK(summary.counts.size() <= 2 * maxKeysPerSecond);
    std::uint64_t sum = 0;
    for (const refusal_count &count : summary.counts) {
        sum += count.count;
    }
    CHECK(sum == keys);
}
