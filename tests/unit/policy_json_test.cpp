/** @file policy_json_test.cpp Tests of the JSON conversion of policy objects and of the consistency checks of a policy set. */

#include "policy/policy_func.h"

#include "support/seeds_func.h"

#include <doctest/doctest.h>

#include <functional>
#include <random>

using namespace cicadamux;

namespace
{
std::vector<std::string> faultsOf(const std::function<void()> &parse)
{
    std::vector<std::string> found;
    try {
        parse();
    } catch (const policy_error &refused) {
        for (const policy_fault &fault : refused.faults()) {
            CHECK_FALSE(fault.allowed.empty());
            found.push_back(fault.path + ": " + fault.problem);
        }
    }
    return found;
}

std::vector<std::string> serviceFaults(std::string_view json)
{
    return faultsOf([json] {
        parseServicePolicy(json);
    });
}

std::vector<std::string> rankFaults(std::string_view json)
{
    return faultsOf([json] {
        parseRankTable(json);
    });
}

operation_rule rule(std::string name, std::uint32_t retries, bool atMostOnce, std::vector<std::string> passes)
{
    operation_rule made;
    made.name = std::move(name);
    made.callClass = "c";
    made.rankName = "urgent";
    made.deadline = {1000};
    made.retries = retries;
    made.atMostOnce = atMostOnce;
    made.passesThrough = std::move(passes);
    return made;
}

std::shared_ptr<const policy_set> setOf(const std::vector<service_policy> &services)
{
    auto set = policy_set().withRankTable({1, "op", {{"urgent", true, 1.0}}});
    for (const service_policy &service : services) {
        set = set->withService(service);
    }
    return set;
}
} // namespace

TEST_CASE("policies in the documented format are parsed completely and formatted without loss")
{
    const service_policy policy = parseServicePolicy(R"({"generation":3,"operation_id":"a","service":"pitchdesk","operations":[
      {"name":"hold","class":"pitch-hold","rank":"urgent","passes_through":["feebox"],
       "deadline_ms":2000,"deadline_kind":"late-ok","late_limit_ms":5000,"retries":2,"at_most_once":true}]})");
    REQUIRE(policy.operations.size() == 1);
    CHECK(policy.generation == 3);
    CHECK(policy.operations[0].passesThrough == std::vector<std::string>{"feebox"});
    CHECK(policy.operations[0].deadline == clock_ms{2000});
    CHECK(policy.operations[0].lateOk);
    CHECK(policy.operations[0].atMostOnce);
    CHECK(parseServicePolicy(formatServicePolicy(policy)) == policy);
    const rank_table table = parseRankTable(R"({"generation":1,"operation_id":"b","ranks":[
      {"name":"urgent","protected":true,"effort":100},{"name":"browse","protected":false,"effort":0.5}]})");
    CHECK(table.ranks[1].effort == doctest::Approx(0.5));
    CHECK(parseRankTable(formatRankTable(table)) == table);
}

TEST_CASE("all faults of a policy are reported at once with their paths")
{
    CHECK(serviceFaults(R"({"generation":0,"service":"Pitch Desk","colour":1,"operations":[
      {"name":"hold","class":"c","rank":"r","deadline_ms":0,"retries":17},
      {"name":"hold","class":7,"rank":"r","deadline_ms":"1","deadline_kind":"soon","passes_through":["a","a",3],"atmostonce":true}, 5]})")
          == std::vector<std::string>{"generation: out of range",
                                      "operation_id: missing",
                                      "service: malformed name",
                                      "operations[0].deadline_ms: out of range",
                                      "operations[0].retries: out of range",
                                      "operations[1].class: wrong type",
                                      "operations[1].passes_through[1]: duplicate",
                                      "operations[1].passes_through[2]: wrong type",
                                      "operations[1].deadline_ms: wrong type",
                                      "operations[1].deadline_kind: unknown value",
                                      "operations[1].name: duplicate",
                                      "operations[1].atmostonce: unknown key",
                                      "operations[2]: wrong type",
                                      "colour: unknown key"});
    CHECK(rankFaults(R"({"generation":1,"operation_id":"x y","ranks":[{"name":"a","effort":0},{"name":"b","protected":true,"effort":1e999}]})")
          == std::vector<std::string>{
              "operation_id: malformed operation id", "ranks[0].effort: out of range", "ranks[1].effort: out of range", "ranks[1].protected: out of order"});
    CHECK(rankFaults(R"({"generation":1,"operation_id":"x","ranks":[]})") == std::vector<std::string>{"ranks: out of range"});
    CHECK(rankFaults("[]") == std::vector<std::string>{"(document): wrong type"});
    CHECK(rankFaults("{\"generation\":1").size() == 1);
    CHECK(rankFaults(std::string(2'000'000, ' ')) == std::vector<std::string>{"(document): too large"});
    CHECK(rankFaults(std::string(5'000, '[')).size() == 1);
    CHECK(serviceFaults(R"({"generation":1.0,"operation_id":"x","service":"s","operations":[
      {"name":"a","class":"c","rank":"r","deadline_ms":90000,"deadline_kind":"late-ok"}]})")
          == std::vector<std::string>{"generation: wrong type", "operations[0].late_limit_ms: out of range"});
}

TEST_CASE("a set with an unknown rank or service is refused")
{
    service_policy desk{1, "op", "desk", {rule("hold", 0, false, {"nowhere"})}};
    desk.operations[0].rankName = "ugrent";
    const auto faults = checkPolicySet(*setOf({desk}));
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].path == "desk.operations[0].rank");
    CHECK(faults[0].allowed == "one of urgent");
    CHECK(faults[1].path == "desk.operations[0].passes_through[0]");
}

TEST_CASE("a root that retries above an at-most-once operation is refused unless it is at-most-once itself")
{
    const service_policy fees{1, "op", "feebox", {rule("table", 0, false, {}), rule("pay", 0, true, {})}};
    const service_policy plain{1, "op", "plain", {rule("list", 0, false, {})}};
    const auto check = [&](const operation_rule &above) {
        return checkPolicySet(*setOf({fees, plain, {1, "op", "desk", {above}}}));
    };
    const auto faults = check(rule("hold", 1, false, {"plain", "feebox"}));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == "desk.operations[0].passes_through[1]");
    CHECK(check(rule("hold", 1, true, {"feebox"})).empty());
    CHECK(check(rule("hold", 0, false, {"feebox"})).empty());
    CHECK(check(rule("hold", 3, false, {"plain"})).empty());
}

TEST_CASE("arbitrary bytes are parsed or rejected with a typed error")
{
    const std::string good = R"({"generation":1,"operation_id":"x","service":"s","operations":[{"name":"a","class":"c","rank":"r","deadline_ms":9}]})";
    for (std::uint64_t seed = 1; seed <= test::seedCount(2000); ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::string text = good;
        for (std::uint64_t changes = random() % 4; changes > 0; --changes) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        try {
            const service_policy policy = parseServicePolicy(text);
            CHECK_FALSE(policy.service.empty());
        } catch (const policy_error &refused) {
            CHECK_FALSE(refused.faults().empty());
        }
    }
}
