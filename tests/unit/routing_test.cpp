/** @file routing_test.cpp Upstream selection: data centre preference, load, subsets, slow start, outlier ejection, draining. */

#include "routing/router_base.h"
#include "routing/routing_view_type.h"
#include "support/invariant_guard_type.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <thread>

using namespace cicadamux;

namespace
{
constexpr clock_ms warm{100'000}; ///< Past the slow start of all upstreams.
const upstream_report good{true, false, 0, 0, 0};
const upstream_report bad{false, true, 0, 0, 0};

upstream makeUpstream(int number, const std::string &dataCenter = "tbs-1")
{
    upstream instance;
    instance.service = "pitchdesk";
    instance.host = "host-" + std::to_string(number);
    instance.dataCenter = dataCenter;
    instance.incarnation.value = 1;
    instance.slots = 10;
    return instance;
}

std::vector<upstream> makeUpstreams(int count)
{
    std::vector<upstream> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        all.push_back(makeUpstream(number));
    }
    return all;
}

random_source seeded(std::uint64_t seed)
{
    return [engine = std::make_shared<std::mt19937_64>(seed)] {
        return (*engine)();
    };
}

router_settings atHost(const std::string &host, std::uint32_t subsetSize = 16)
{
    router_settings settings;
    settings.dataCenter = "tbs-1";
    settings.host = host;
    settings.subsetSize = subsetSize;
    return settings;
}

/** @return How often each host is chosen; an empty host stands for none. */
std::map<std::string, int> tally(router &routes, clock_ms now, int calls = 2'000, const std::vector<std::string> &excluded = {})
{
    std::map<std::string, int> counts;
    for (int number = 0; number < calls; ++number) {
        const auto chosen = routes.choose("pitchdesk", excluded, now);
        ++counts[chosen ? chosen->host : ""];
    }
    return counts;
}

void endMany(router &routes, const std::string &host, const upstream_report &report, int count, clock_ms now)
{
    for (int number = 0; number < count; ++number) {
        routes.ended("pitchdesk", host, report, now);
    }
}

std::size_t ejectedCount(const router &routes, clock_ms now)
{
    std::size_t count = 0;
    for (const upstream_state &each : routes.states(now)) {
        count += each.ejected ? 1 : 0;
    }
    return count;
}
} // namespace

TEST_CASE("the own data centre comes first and spills over only while it is full")
{
    router routes(atHost("caller"), seeded(1));
    const std::vector<upstream> all = {makeUpstream(0), makeUpstream(1), makeUpstream(2, "tbs-2")};
    routes.setUpstreams(all, warm);
    CHECK(tally(routes, warm).count("host-2") == 0);
    endMany(routes, "host-0", {true, false, 10, 5, 10}, 1, warm);
    CHECK(tally(routes, warm) == std::map<std::string, int>{{"host-1", 2'000}});
    endMany(routes, "host-1", {true, false, 10, 5, 10}, 1, warm);
    CHECK(tally(routes, warm) == std::map<std::string, int>{{"host-2", 2'000}});
    CHECK(tally(routes, warm, 10, {"host-2"}).count("") == 0);
    CHECK(tally(routes, warm + clock_ms{300}).count("host-2") == 0);
    CHECK(tally(routes, warm, 10, {"host-0", "host-1", "host-2"}).at("") == 10);
}

// Requests were refused after three hosts without room although a fourth had plenty.
TEST_CASE("a host whose rate has no room is passed over until it has while another has room (servers that state a rate)")
{
    router routes(atHost("caller"), seeded(1));
    const std::vector<upstream> all = {makeUpstream(0), makeUpstream(1), makeUpstream(2, "tbs-2")};
    routes.setUpstreams(all, warm);
    const upstream_report noRoom{true, false, 1, 0, 3, clock_ms{400}};
    endMany(routes, "host-0", noRoom, 1, warm);
    CHECK(tally(routes, warm) == std::map<std::string, int>{{"host-1", 2'000}});
    endMany(routes, "host-1", noRoom, 1, warm);
    CHECK(tally(routes, warm) == std::map<std::string, int>{{"host-2", 2'000}});
    CHECK(tally(routes, warm + clock_ms{399}) == std::map<std::string, int>{{"host-2", 2'000}});
    CHECK(tally(routes, warm + clock_ms{400}).count("host-2") == 0);
    endMany(routes, "host-2", noRoom, 1, warm);
    CHECK(tally(routes, warm).count("") == 0); // Each host without room: the gate decides.
    endMany(routes, "host-0", {true, false, 1, 0, 3, clock_ms{60'000}}, 1, warm);
    CHECK(tally(routes, warm + clock_ms{2'000}).count("host-0") == 1);
}

TEST_CASE("a draining upstream is found, but never chosen")
{
    router routes(atHost("caller"), seeded(1));
    std::vector<upstream> all = makeUpstreams(3);
    all[1].draining = true;
    routes.setUpstreams(all, warm);
    CHECK(routes.find("pitchdesk", "host-1")->draining);
    CHECK(tally(routes, warm).count("host-1") == 0);
    CHECK(tally(routes, warm, 10, {"host-0", "host-2"}).at("") == 10);
    CHECK_FALSE(routes.choose("feebox", {}, warm).has_value());
    routes.ended("feebox", "host-9", good, warm);
}

TEST_CASE("two choices keep a slow upstream's queue short")
{
    constexpr int upstreamCount = 8;
    constexpr int calls = 20'000;
    router routes(atHost("caller"), seeded(1));
    routes.setUpstreams(makeUpstreams(upstreamCount), warm);
    using call_end = std::pair<std::int64_t, std::string>;
    std::priority_queue<call_end, std::vector<call_end>, std::greater<>> ends;
    std::uint32_t mostInFlight = 0;
    for (std::int64_t now = warm.count; now < warm.count + calls; ++now) {
        while (!ends.empty() && ends.top().first <= now) {
            routes.ended("pitchdesk", ends.top().second, good, {now});
            ends.pop();
        }
        const std::string host = routes.choose("pitchdesk", {}, {now})->host;
        routes.sent("pitchdesk", host);
        ends.emplace(now + (host == "host-0" ? 200 : 40), host);
        for (const upstream_state &each : routes.states({now})) {
            mostInFlight = std::max(mostInFlight, each.inFlight);
        }
    }
    CHECK(mostInFlight <= 15); // A uniformly random choice would keep 25 calls in flight at host-0 on average: 1/8 of 1,000 calls/s for 200 ms each.
}

TEST_CASE("subsets cover the upstreams evenly, stay bounded and move little")
{
    constexpr int callers = 200;
    constexpr std::uint32_t size = 16;
    const std::vector<upstream> all = makeUpstreams(100);
    std::map<std::string, int> coverage;
    for (int caller = 0; caller < callers; ++caller) {
        const router_settings settings = atHost("caller-" + std::to_string(caller), size);
        const auto full = detail::makeRoutingView(all, {}, settings);
        const auto reduced = detail::makeRoutingView(std::span(all).subspan(1), {}, settings);
        std::set<std::string> before;
        for (const std::uint32_t index : full->findService("pitchdesk")->local) {
            before.insert(full->findService("pitchdesk")->all[index].info.host);
        }
        REQUIRE(before.size() == size);
        std::size_t kept = 0;
        for (const std::uint32_t index : reduced->findService("pitchdesk")->local) {
            kept += before.count(reduced->findService("pitchdesk")->all[index].info.host);
        }
        REQUIRE(kept >= size - 1);
        for (const std::string &host : before) {
            ++coverage[host];
        }
    }
    constexpr int mean = callers * size / 100;
    int least = callers;
    int most = 0;
    for (const auto &[host, count] : coverage) {
        least = std::min(least, count);
        most = std::max(most, count);
    }
    MESSAGE("callers of an upstream: mean " << mean << ", least " << least << ", most " << most);
    CHECK(coverage.size() == 100);
    CHECK((least * 3 >= mean && most <= mean * 2));
}

TEST_CASE("the share of a cold upstream rises; after a restart it is cold and healthy again")
{
    router routes(atHost("caller"), seeded(1));
    std::vector<upstream> all = makeUpstreams(4);
    all[0].servingSince = warm;
    routes.setUpstreams(all, warm);
    const int cold = tally(routes, warm)["host-0"];
    const int half = tally(routes, warm + clock_ms{2'500})["host-0"];
    const int full = tally(routes, warm + clock_ms{5'000})["host-0"];
    CHECK(cold > 0);
    CHECK(cold <= 100); // Expected: 50, a tenth of the full share.
    CHECK((half > cold && half <= 400)); // Expected: 275, 55% of the full share.
    CHECK((full > 400 && full < 600));

    const std::vector<upstream> pair = {all[0], makeUpstream(9, "tbs-2")};
    router lone(atHost("caller"), seeded(1));
    lone.setUpstreams(pair, warm);
    CHECK(tally(lone, warm)["host-0"] <= 400); // Expected: 200, a tenth of the calls; the rest spills over.

    endMany(routes, "host-1", bad, 5, warm);
    CHECK(ejectedCount(routes, warm) == 1);
    all[1].incarnation.value = 2;
    routes.setUpstreams(all, warm);
    CHECK(ejectedCount(routes, warm) == 0);
}

TEST_CASE("an outlier is ejected, probed by single calls, and ejected for longer if it fails again")
{
    router routes(atHost("caller"), seeded(1));
    routes.setUpstreams(makeUpstreams(4), warm);
    endMany(routes, "host-0", bad, 4, warm);
    CHECK(ejectedCount(routes, warm) == 0);
    endMany(routes, "host-0", bad, 1, warm);
    CHECK(tally(routes, warm + clock_ms{999}).count("host-0") == 0);
    CHECK(tally(routes, warm + clock_ms{1'000})["host-0"] == 1);
    endMany(routes, "host-0", bad, 1, warm + clock_ms{1'000});
    CHECK(tally(routes, warm + clock_ms{2'999}).count("host-0") == 0);
    CHECK(tally(routes, warm + clock_ms{3'000})["host-0"] == 1);
    endMany(routes, "host-0", good, 1, warm + clock_ms{3'000});
    CHECK(tally(routes, warm + clock_ms{3'000})["host-0"] > 400);
    for (int number = 0; number < 10; ++number) {
        endMany(routes, "host-1", bad, 1, warm);
        endMany(routes, "host-1", good, 1, warm);
    }
    CHECK(ejectedCount(routes, warm) == 1);
    CHECK(tally(routes, warm, 10, {"host-0", "host-2", "host-3"})["host-1"] == 10);
}

TEST_CASE("random views, failures and exclusions: nothing forbidden is chosen, and ejections stay bounded")
{
    const test::invariant_guard guard;
    for (std::uint64_t seed = 1; seed <= test::seedCount(500); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        router routes(atHost("caller", static_cast<std::uint32_t>(1 + random() % 8)), seeded(seed));
        std::map<std::string, upstream> known;
        clock_ms now = warm;
        for (int step = 0; step < 300; ++step) {
            now.count += static_cast<std::int64_t>(random() % 200);
            const std::string host = "host-" + std::to_string(random() % 12);
            if (step == 0 || random() % 8 == 0) {
                upstream fresh = makeUpstream(0, random() % 2 == 0 ? "tbs-1" : "tbs-2");
                fresh.host = host;
                fresh.draining = random() % 3 == 0;
                fresh.incarnation.value = 1 + random() % 2;
                fresh.servingSince = now;
                known.insert_or_assign(host, fresh);
                if (random() % 3 == 0) {
                    known.erase("host-" + std::to_string(random() % 12));
                }
                std::vector<upstream> all;
                all.reserve(known.size());
                for (const auto &[name, instance] : known) {
                    all.push_back(instance);
                }
                routes.setUpstreams(all, now);
            }
            std::vector<std::string> excluded(random() % 3, "host-" + std::to_string(random() % 12));
            std::size_t allowed = 0;
            std::size_t serving = 0;
            for (const auto &[name, instance] : known) {
                serving += instance.draining ? 0 : 1;
                allowed += !instance.draining && std::ranges::find(excluded, name) == excluded.end() ? 1 : 0;
            }
            const auto chosen = routes.choose("pitchdesk", excluded, now);
            REQUIRE(chosen.has_value() == (allowed > 0));
            if (chosen) {
                REQUIRE(known.at(chosen->host) == *chosen);
                REQUIRE_FALSE(chosen->draining);
                REQUIRE(std::ranges::find(excluded, chosen->host) == excluded.end());
                routes.sent("pitchdesk", chosen->host);
            }
            const upstream_report report{random() % 2 == 0,
                                         random() % 2 == 0,
                                         static_cast<std::uint32_t>(random() % 20),
                                         static_cast<std::uint32_t>(random() % 3),
                                         static_cast<std::uint32_t>(random() % 20)};
            endMany(routes, host, report, static_cast<int>(random() % 6), now);
            REQUIRE(ejectedCount(routes, now) * 100 <= serving * 34);
        }
    }
}

TEST_CASE("threads that choose while the view changes never get an upstream that was draining before they asked")
{
    router routes(atHost("caller"), threadRandom);
    std::vector<upstream> all = makeUpstreams(6);
    routes.setUpstreams(all, warm);
    std::atomic<std::uint64_t> epoch{0}; ///< Odd while the table is being updated; otherwise twice the number of updates.
    std::atomic<int> drained{-1};
    std::atomic<bool> stop{false};
    std::atomic<int> faults{0};
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int number = 0; number < 3; ++number) {
        threads.emplace_back([&] {
            while (!stop) {
                const std::uint64_t before = epoch;
                const int idle = drained;
                const auto chosen = routes.choose("pitchdesk", {}, warm);
                const bool isSteady = before % 2 == 0 && before == epoch;
                if (!chosen) {
                    ++faults;
                    continue;
                }
                faults += isSteady && chosen->host == "host-" + std::to_string(idle) ? 1 : 0;
                routes.sent("pitchdesk", chosen->host);
                routes.ended("pitchdesk", chosen->host, threadRandom() % 3 == 0 ? bad : good, warm);
            }
        });
    }
    for (int change = 0; change < 300; ++change) {
        ++epoch;
        for (int number = 0; number < 6; ++number) {
            all[static_cast<std::size_t>(number)].draining = number == change % 6;
        }
        routes.setUpstreams(all, warm);
        drained = change % 6;
        ++epoch;
        std::this_thread::yield();
    }
    stop = true;
    for (std::thread &each : threads) {
        each.join();
    }
    CHECK(faults == 0);
    for (const upstream_state &each : routes.states(warm)) {
        CHECK(each.inFlight == 0);
    }
}

TEST_CASE("a call with a tight target goes to a faster server elsewhere; one without stays near (a slow server in one data centre)")
{
    std::vector<upstream> all = {makeUpstream(0, "tbs-1"), makeUpstream(1, "tbs-2"), makeUpstream(2, "tbs-3")};
    router routes(atHost("caller"), seeded(1));
    routes.setUpstreams(all, warm);
    route_preference preference;
    preference.expectedRun = [](std::string_view host) {
        return host == "host-0" ? 176.0 : 77.0;
    };
    preference.minRunTimeSaved = 30;
    CHECK(routes.choose("pitchdesk", {}, warm, preference)->host != "host-0");
    preference.minRunTimeSaved = 150;
    CHECK(routes.choose("pitchdesk", {}, warm, preference)->host == "host-0");
    preference.minRunTimeSaved = 30;
    for (int call = 0; call < 8; ++call) { // 8 of 10 slots exceed the load limit for spill-over.
        routes.sent("pitchdesk", "host-1");
        routes.sent("pitchdesk", "host-2");
    }
    CHECK(routes.choose("pitchdesk", {}, warm, preference)->host == "host-0");
}
