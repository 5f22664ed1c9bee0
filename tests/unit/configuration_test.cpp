/** @file configuration_test.cpp Tests of the configuration: generations never decrease and all daemons converge. */

#include "configuration/configuration_base.h"
#include "core/error_type.h"
#include "core/invariant_func.h"
#include "policy/policy_func.h"
#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
configuration_object rankObject(std::uint64_t generation, const std::string &operationId)
{
    rank_table table;
    table.generation = generation;
    table.operationId = operationId;
    table.ranks = {{"urgent", true, 100}, {"browse", false, static_cast<double>(1 + generation)}};
    return {std::string(rankTableKind), std::string(rankTableName), generation, formatRankTable(table)};
}

configuration_object serviceObject(const std::string &service, std::uint64_t generation, const std::string &operationId)
{
    service_policy policy;
    policy.generation = generation;
    policy.operationId = operationId;
    policy.service = service;
    operation_rule rule;
    rule.name = "find";
    rule.callClass = "find";
    rule.rankName = "browse";
    rule.deadline = clock_ms{1'000 + static_cast<std::int64_t>(generation)};
    policy.operations = {rule};
    return {std::string(servicePolicyKind), service, generation, formatServicePolicy(policy)};
}
} // namespace

TEST_CASE("a lower generation is refused and counted, and what was in force stays")
{
    configuration config(nullptr);
    CHECK(config.offer(serviceObject("feebox", 3, "x")) == offer_result::applied);
    CHECK(config.offer(serviceObject("feebox", 3, "x")) == offer_result::same);
    const std::uint64_t digest = config.digest();
    CHECK(config.offer(serviceObject("feebox", 2, "z")) == offer_result::stale);
    CHECK(config.digest() == digest);
    CHECK(config.policies()->services().at("feebox").generation == 3);
    CHECK(config.counters().stale == 1);
}

TEST_CASE("of two writes with one generation the greater operation id wins, in either order")
{
    configuration one(nullptr);
    configuration other(nullptr);
    one.offer(serviceObject("feebox", 3, "x"));
    other.offer(serviceObject("feebox", 3, "y"));
    CHECK(one.digest() != other.digest());
    CHECK(one.newerThan(other.generations(), 10).size() == 1);
    CHECK(one.offer(serviceObject("feebox", 3, "y")) == offer_result::conflicting);
    CHECK(other.offer(serviceObject("feebox", 3, "x")) == offer_result::conflicting);
    CHECK(one.digest() == other.digest());
    CHECK(one.policies()->services().at("feebox").operationId == "y");
}

TEST_CASE("an object that doesn't parse, has another name or another kind is kept out")
{
    int published = 0;
    configuration config([&](const std::shared_ptr<const policy_set> &) {
        ++published;
    });
    config.offer(serviceObject("feebox", 3, "x"));
    configuration_object wrong = serviceObject("feebox", 4, "y");
    wrong.name = "pitchdesk";
    CHECK(config.offer(wrong) == offer_result::invalid);
    wrong = serviceObject("feebox", 4, "y");
    wrong.value = "{\"generation\":4";
    CHECK(config.offer(wrong) == offer_result::invalid);
    wrong.kind = "seed_list";
    CHECK(config.offer(wrong) == offer_result::invalid);
    CHECK(config.policies()->services().at("feebox").generation == 3);
    CHECK(config.counters().invalid == 3);
    CHECK(published == 1);
}

TEST_CASE("an outdated peer gets a bounded number of the objects that it lacks and is asked for those that it has in addition")
{
    configuration ahead(nullptr);
    configuration behind(nullptr);
    for (int number = 0; number < 10; ++number) {
        ahead.offer(serviceObject("service-" + std::to_string(number), 2, "x"));
        behind.offer(serviceObject("service-" + std::to_string(number), number < 4 ? 2 : 1, "x"));
    }
    behind.offer(rankObject(5, "x"));
    CHECK(ahead.newerThan(behind.generations(), 100).size() == 6);
    CHECK(ahead.newerThan(behind.generations(), 4).size() == 4);
    CHECK(ahead.objectsToPull(behind.generations()).size() == 1);
    const std::vector<object_generation> named{{std::string(servicePolicyKind), "service-9", 1}, {std::string(servicePolicyKind), "service-1", 2}};
    CHECK(ahead.newerAmong(named).size() == 1);
}

TEST_CASE("offers in any order, doubled, stale, conflicting, from a restored store, end in the same configuration and never go down")
{
    setInvariantHook([](invariant which, std::string_view detail) {
        throw invariant_error(std::string(toString(which)) + ' ' + std::string(detail));
    });
    for (std::uint64_t seed = 1; seed <= seedCount(100); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 engine(seed);
        std::vector<configuration_object> history;
        for (std::uint64_t generation = 1; generation <= 12; ++generation) {
            const std::string service = "service-" + std::to_string(engine() % 3);
            history.push_back(serviceObject(service, generation, "first"));
            if (engine() % 3 == 0) { // A restored store assigns the same generation to another write.
                history.push_back(serviceObject(service, generation, "second"));
            }
            if (engine() % 4 == 0) {
                history.push_back(rankObject(generation, "first"));
            }
        }
        std::vector<std::uint64_t> digests;
        for (int daemon = 0; daemon < 4; ++daemon) {
            std::map<std::string, std::uint64_t> highest;
            configuration config([&](const std::shared_ptr<const policy_set> &policies) {
                for (const auto &[service, policy] : policies->services()) {
                    CHECK(policy.generation >= highest[service]);
                    highest[service] = policy.generation;
                }
            });
            std::vector<configuration_object> offers = history;
            offers.insert(offers.end(), history.begin(), history.end());
            std::ranges::shuffle(offers, engine);
            for (const configuration_object &object : offers) {
                config.offer(object);
            }
            digests.push_back(config.digest());
        }
        CHECK(std::ranges::count(digests, digests.front()) == 4);
    }
    setInvariantHook(nullptr);
}
