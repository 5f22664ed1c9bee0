/** @file fleet_test.cpp Tests of fleet membership, with several daemons in one process. */

#include "fleet_fakes.h"
#include "policy/policy_func.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{
std::string policyText(std::uint64_t generation)
{
    service_policy policy;
    policy.generation = generation;
    policy.operationId = "write-" + std::to_string(generation);
    policy.service = "pitchdesk";
    operation_rule rule;
    rule.name = "hold";
    rule.callClass = "hold";
    rule.rankName = "urgent";
    rule.deadline = clock_ms{1'000};
    policy.operations = {rule};
    return formatServicePolicy(policy);
}

void writePolicy(fake_platform &platform, std::uint64_t generation)
{
    platform.write(std::string(servicePolicyKind), "pitchdesk", policyText(generation));
}

std::uint64_t generationAt(fleet &one)
{
    const auto held = one.config().object(servicePolicyKind, "pitchdesk");
    return held ? held->generation : 0;
}

bool allHave(fleet_group &group, std::uint64_t generation)
{
    return std::ranges::all_of(group.fleets, [&](const auto &item) {
        return generationAt(*item.second) == generation;
    });
}

bool allSee(fleet_group &group, std::size_t members)
{
    return std::ranges::all_of(group.fleets, [&](const auto &item) {
        return item.second->view()->size() == members;
    });
}
} // namespace

TEST_CASE("a change in the platform comes into force in every data centre and a restored platform reverts nothing")
{
    fleet_group group;
    fake_platform &platform = group.platform;
    writePolicy(platform, 1);
    for (const std::string host : {"a1", "a2", "a3", "a4"}) {
        group.start(host, "tbs-1", &platform);
    }
    for (const std::string host : {"b1", "b2"}) {
        group.start(host, "tbs-2", &platform);
    }
    CHECK(group.eventually([&] {
        return allHave(group, 1) && allSee(group, 6);
    }));
    platform.save();
    writePolicy(platform, 2);
    CHECK(group.eventually([&] {
        return allHave(group, 2);
    }));
    platform.restore();
    CHECK(group.eventually([&] {
        return std::ranges::any_of(group.fleets, [](const auto &item) {
            return item.second->counters().staleOffers > 0;
        });
    }));
    writePolicy(platform, 3);
    CHECK(group.eventually([&] {
        return allHave(group, 3);
    }));
    CHECK(group.eventually([&] {
        const std::uint64_t digest = group.fleets.at("b1")->config().digest();
        const auto view = group.fleets.at("a1")->view();
        return std::ranges::all_of(*view, [&](const member_record &record) {
            return record.configurationDigest == digest;
        });
    }));
    for (const auto &[host, count] : group.reverts) {
        CHECK(count == 0);
    }
}

TEST_CASE("without the platform a new daemon gets the configuration from its peers and a data centre from the other ones")
{
    fleet_group group;
    fake_platform &platform = group.platform;
    writePolicy(platform, 1);
    group.start("a1", "tbs-1", &platform);
    group.start("a2", "tbs-1", &platform);
    group.start("b1", "tbs-2", &group.unreachable);
    group.start("b2", "tbs-2", &group.unreachable);
    CHECK(group.eventually([&] {
        return allHave(group, 1);
    }));
    writePolicy(platform, 2);
    CHECK(group.eventually([&] {
        return allHave(group, 2);
    }));
    platform.isDown = true;
    group.start("a3", "tbs-1", &platform);
    group.start("b3", "tbs-2", &group.unreachable);
    CHECK(group.eventually([&] {
        return allHave(group, 2) && allSee(group, 6);
    }));
}

TEST_CASE("daemons without seeds in their settings find each other through the platform's seed list")
{
    fleet_group group;
    group.givesSeeds = false;
    fake_platform &platform = group.platform;
    fleet &first = group.start("a1", "tbs-1", &platform);
    CHECK(group.eventually([&] {
        return platform.holds("seed_list", "tbs-1");
    }));
    group.start("a2", "tbs-1", &platform);
    CHECK(group.eventually([&] {
        return first.view()->size() == 2;
    }));
}

TEST_CASE("a leaving daemon is seen as leaving and disappears once it stops")
{
    fleet_group group;
    group.start("a1", "tbs-1", nullptr);
    fleet &leaver = group.start("a2", "tbs-1", nullptr);
    leaver.setServer("pitchdesk", server_state::serving, 50);
    const auto stateAtPeer = [&] {
        const auto view = group.fleets.at("a1")->view();
        const auto found = std::ranges::find(*view, "a2", &member_record::host);
        return found == view->end() ? member_state::dead : found->state;
    };
    CHECK(group.eventually([&] {
        return stateAtPeer() == member_state::alive;
    }));
    leaver.leave();
    CHECK(group.eventually([&] {
        return stateAtPeer() == member_state::leaving;
    }));
    leaver.stop();
    CHECK(group.eventually([&] {
        return stateAtPeer() == member_state::dead;
    }));
}

TEST_CASE("calls to the platform don't grow with the data centre")
{
    fleet_group group;
    fake_platform &platform = group.platform;
    writePolicy(platform, 1);
    for (int number = 0; number < 12; ++number) {
        group.start("a" + std::to_string(number), "tbs-1", &platform);
    }
    CHECK(group.eventually([&] {
        return allHave(group, 1) && allSee(group, 12);
    }));
    std::size_t callers = 0;
    std::map<std::string, std::uint64_t> before;
    for (const auto &[host, one] : group.fleets) {
        before[host] = one->counters().platformCalls;
    }
    const std::uint64_t calls = platform.calls;
    CHECK(group.eventually([&] {
        return platform.calls >= calls + 20;
    }));
    for (const auto &[host, one] : group.fleets) {
        callers += one->counters().platformCalls > before[host] ? 1 : 0;
    }
    CHECK(callers <= 4); // Two duties with two holders each.
}
