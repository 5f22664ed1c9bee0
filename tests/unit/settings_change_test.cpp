/** @file settings_change_test.cpp Settings that change while a sidecar runs: taken over together or refused together. */

#include "retry/repeat_budget_base.h"
#include "settings/settings_func.h"
#include "sidecar/settings_source_base.h"
#include "sidecar_fleet_fake.h"
#include "store/replaceable_store_base.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace cicadamux;
using namespace cicadamux::test;

namespace
{

std::string sidecarJson(const std::string &platform, int memoryMb)
{
    return R"({"host":"h","data_center":"d","edge":{"address":"127.0.0.1:1"},"local":{"address":"127.0.0.1:2"},"ready":{"address":"127.0.0.1:3"},)"
           R"("peer":{"address":"127.0.0.1:4"},"admin":{"address":"127.0.0.1:5"},"backend":{"address":"127.0.0.1:6","service":"feebox"},)"
           R"("platform":{"address":")"
        + platform + R"(","bounds":"x=1"},"limits":{"memory_mb":)" + std::to_string(memoryMb) + "}}";
}

/** A settings file that is removed at the end. */
struct settings_file {
    settings_file()
        : path((std::filesystem::temp_directory_path() / ("cicadamux-settings-" + std::to_string(::getpid()) + ".json")).string())
    {
    }

    ~settings_file()
    {
        std::filesystem::remove(path);
    }

    settings_file(const settings_file &) = delete;
    settings_file &operator=(const settings_file &) = delete;

    void write(const std::string &text) const
    {
        std::ofstream(path, std::ios::trunc) << text;
    }

    std::string path;
};

std::vector<std::string> pathsOf(const std::vector<setting_change> &changes, bool live)
{
    std::vector<std::string> paths;
    for (const setting_change &change : changes) {
        if (change.isLive == live) {
            paths.emplace_back(change.path);
        }
    }
    return paths;
}

} // namespace

TEST_CASE("a change names its live settings and those that need a restart and only the live ones are taken")
{
    const daemon_settings before = parseSettings(sidecarJson("127.0.0.1:7", 100), settings_profile::sidecar);
    daemon_settings after = parseSettings(sidecarJson("127.0.0.1:8", 200), settings_profile::sidecar);
    after.edgeAddress = "127.0.0.1:99";
    const std::vector<setting_change> changes = compareSettings(before, after);
    CHECK(pathsOf(changes, true) == std::vector<std::string>{"platform.address", "limits.memory_mb"});
    CHECK(pathsOf(changes, false) == std::vector<std::string>{"edge.address"});
    const daemon_settings merged = withLiveSettings(before, after);
    CHECK(merged.platformAddress == "127.0.0.1:8");
    CHECK(merged.memoryMb == 200);
    CHECK(merged.edgeAddress == before.edgeAddress);
    CHECK(compareSettings(before, before).empty());
}

TEST_CASE("a settings file that changes without a signal is applied once and a broken one leaves the old settings")
{
    settings_file file;
    const std::string first = sidecarJson("127.0.0.1:7", 100);
    file.write(first);
    std::vector<daemon_settings> applied;
    settings_source source(file.path, first, [&applied](const daemon_settings &fresh) {
        applied.push_back(fresh);
    });
    source.checkIfDue({1'000});
    CHECK(applied.empty());
    file.write(sidecarJson("127.0.0.1:7", 200));
    source.checkIfDue({1'100}); // Not due.
    CHECK(applied.empty());
    source.checkIfDue({2'000});
    source.checkIfDue({3'000});
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].memoryMb == 200);
    for (const std::string &broken : {first.substr(0, first.size() / 2), std::string(), sidecarJson("nowhere", 300), sidecarJson("127.0.0.1:7", -1)}) {
        file.write(broken);
        source.check("signal");
    }
    std::filesystem::remove(file.path);
    source.check("signal");
    CHECK(applied.size() == 1);
    file.write(sidecarJson("127.0.0.1:7", 400));
    source.check("signal");
    REQUIRE(applied.size() == 2);
    CHECK(applied[1].memoryMb == 400);
}

TEST_CASE("a sidecar takes over a new store and new limits without losing a request or becoming unready")
{
    holding_host host(4);
    auto &[fleet, held, entry] = host;
    const auto running = fleet.send(entry, "/feebox/", clock_ms{4'000});
    REQUIRE(host.holds(1));
    daemon_settings fresh = entry.settings;
    fresh.platformAddress = "127.0.0.1:9";
    fresh.maxBodyBytes = 2'000'000;
    fresh.memoryMb = 50;
    const std::uint64_t stores = fleet.storesMade;
    entry.running->applySettings(fresh);
    CHECK(fleet.storesMade == stores + 1);
    CHECK(fleet.ready());
    held[0]->answer(sidecar_fleet::goodAnswer(held[0]->request()));
    REQUIRE(fleet.eventually([&running] {
        return running->has_value();
    }));
    CHECK((*running)->message.status == 200);
    fleet.configure(makeRoutes(4, {"feebox", "mapview"}, false, 2));
    CHECK(fleet.eventually([&host] { // The new version comes by the new store's watch.
        return host.fleet.call(host.entry, "/mapview/").message.status == 503;
    }));
}

TEST_CASE("settings whose bounds can't be read are refused as a whole")
{
    holding_host host(4);
    auto &[fleet, held, entry] = host;
    daemon_settings fresh = entry.settings;
    fresh.platformBounds = "unreadable";
    fresh.platformAddress = "127.0.0.1:9";
    const std::uint64_t stores = fleet.storesMade;
    CHECK_THROWS_AS(entry.running->applySettings(fresh), settings_error);
    CHECK(fleet.storesMade == stores);
    CHECK(fleet.ready());
}

TEST_CASE("a changed bound on repeats keeps what was counted (no doubled budget)")
{
    for (const std::int64_t window : {5'000, 20'000}) {
        CAPTURE(window);
        repeat_budget_settings settings;
        settings.slack = 5;
        repeat_budget budget(settings);
        int granted = 0;
        clock_ms now{100'000};
        while (budget.take("feebox", now)) {
            ++granted;
        }
        CHECK(granted > 0);
        budget.setBound(0.2, clock_ms{window});
        CHECK_FALSE(budget.take("feebox", now + clock_ms{100}));
        CHECK(budget.take("feebox", now + clock_ms{2 * window}));
    }
}

TEST_CASE("a departure is recorded in a new store too (DRAIN)")
{
    holding_host host(4);
    auto &[fleet, held, entry] = host;
    fleet.beat(entry, "i-1", 4, "draining");
    REQUIRE(fleet.platform.holds("cicadamux-departures", entry.name));
    fleet.platform.erase("cicadamux-departures", entry.name); // The new store doesn't have it.
    daemon_settings fresh = entry.settings;
    fresh.platformAddress = "127.0.0.1:9";
    entry.running->applySettings(fresh);
    CHECK(fleet.eventually([&host] {
        return host.fleet.platform.holds("cicadamux-departures", host.entry.name);
    }));
}
