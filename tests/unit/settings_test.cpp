/** @file settings_test.cpp Tests of settings parsing and of the generated settings page. */

#include "settings/settings_func.h"

#include "settings/settings_table.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace cicadamux;

namespace
{
constexpr std::string_view minimalSettings = R"({"host":"host-a1","data_center":"tbs-1","local":{"address":"127.0.0.1:0"},
  "peer":{"address":"127.0.0.1:0"},"admin":{"address":"127.0.0.1:0"},"fleet_key":"0123456789abcdef"})";

boost::json::object document()
{
    return boost::json::parse(minimalSettings).as_object();
}

std::vector<std::string> faultsOf(const std::string &json)
{
    std::vector<std::string> found;
    try {
        parseSettings(json);
    } catch (const settings_error &refused) {
        for (const settings_fault &fault : refused.faults()) {
            CHECK_FALSE(fault.allowed.empty());
            found.push_back(fault.path + ": " + fault.problem);
        }
    }
    return found;
}

std::vector<std::string> faultsOf(const boost::json::object &json)
{
    return faultsOf(boost::json::serialize(json));
}

/** Sets the value at a dotted path of at most two keys. */
void put(boost::json::object &json, std::string_view path, boost::json::value value)
{
    const auto dot = path.find('.');
    if (dot == std::string_view::npos) {
        json[path] = std::move(value);
        return;
    }
    boost::json::value &section = json[path.substr(0, dot)];
    if (!section.is_object()) {
        section.emplace_object();
    }
    section.get_object()[path.substr(dot + 1)] = std::move(value);
}
} // namespace

TEST_CASE("the smallest settings take all other values from the defaults")
{
    const daemon_settings settings = parseSettings(minimalSettings);
    CHECK(settings.host == "host-a1");
    CHECK(settings.edgeAddress.empty());
    CHECK(settings.gate.maxWaiting == gate_settings().maxWaiting);
    auto json = document();
    put(json, "gate.max_waiting", 7);
    put(json, "membership.probe_period_ms", 250);
    put(json, "seeds", {"127.0.0.1:7003", "10.0.0.9:65535"});
    put(json, "log.level", "debug");
    const daemon_settings changed = parseSettings(boost::json::serialize(json));
    CHECK(changed.gate.maxWaiting == 7);
    CHECK(changed.membership.probePeriod == clock_ms{250});
    CHECK(changed.seeds.size() == 2);
    CHECK(changed.logLevel == log_level::debug);
}

TEST_CASE("all faults of a settings file are reported at once")
{
    CHECK(faultsOf(std::string(R"({"host":"Host A","data_center":3,"edge":{"address":"localhost:80","adress":""},"local":{"address":"127.0.0.1"},
      "peer":"127.0.0.1:1","admin":{"address":"127.0.0.1:65536"},"fleet_key":"short","seeds":["127.0.0.1:1","::1:2"],
      "gate":{"max_waiting":0,"initial_limit":2.5,"min_limit":9,"max_limit":8},"log":{"level":"loud"},"color":1})"))
          == std::vector<std::string>{"host: malformed",
                                      "data_center: wrong type",
                                      "edge.address: malformed",
                                      "edge.adress: unknown key",
                                      "local.address: malformed",
                                      "peer: wrong type",
                                      "admin.address: malformed",
                                      "fleet_key: malformed",
                                      "seeds: malformed",
                                      "gate.max_waiting: out of range",
                                      "gate.initial_limit: wrong type",
                                      "log.level: unknown value",
                                      "color: unknown key",
                                      "peer.address: missing",
                                      "gate.min_limit: out of range",
                                      "gate.initial_limit: out of range"});
    CHECK(faultsOf(std::string("{")).size() == 1);
    CHECK(faultsOf(std::string("7")) == std::vector<std::string>{"(document): wrong type"});
    CHECK_THROWS_AS(loadSettings("no/such/file"), settings_error);
}

TEST_CASE("each number of the table is taken at its bounds and refused beyond them")
{
    for (const detail::setting_row &row : detail::settingRows()) {
        if (row.unit.empty()) {
            continue;
        }
        CAPTURE(row.path);
        for (const double beyond : {row.minimum - 1, row.maximum + 1}) {
            auto json = document();
            put(json, row.path, static_cast<std::int64_t>(beyond));
            const auto faults = faultsOf(json);
            CHECK(std::ranges::find(faults, std::string(row.path) + ": out of range") != faults.end());
        }
        auto json = document();
        put(json, row.path, "7");
        CHECK(faultsOf(json) == std::vector<std::string>{std::string(row.path) + ": wrong type"});
    }
}

TEST_CASE("a secret is in no error and no explanation")
{
    auto json = document();
    json["fleet_key"] = "tell-no-one";
    json["edge"] = 1;
    try {
        parseSettings(boost::json::serialize(json));
        FAIL("accepted");
    } catch (const settings_error &refused) {
        CHECK(std::string(refused.what()).find("tell-no-one") == std::string::npos);
        CHECK(refused.faults().size() == 2);
    }
}

TEST_CASE("the settings page equals the table")
{
    std::ifstream page(CICADAMUX_SOURCE_DIR "/docs/SETTINGS.md");
    std::ostringstream text;
    text << page.rdbuf();
    CHECK(text.str() == explainSettingsMarkdown());
    CHECK(explainSettings().find("gate.max_waiting") != std::string::npos);
}
