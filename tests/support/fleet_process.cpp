/** @file fleet_process.cpp Starts the processes of a test fleet. */

#include "support/fleet_process.h"

#include "support/http_client_base.h"
#include "support/payload_func.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <set>
#include <thread>

namespace cicadamux::test::detail
{

namespace
{
constexpr const char *fleetKey = "test-fleet-key-0123456789abcdef0123456789";
constexpr clock_ms probePeriod{10};
constexpr clock_ms probeTimeout{500};
constexpr unsigned statusOk = 200;

/** Merges `overrides` into `base`, recursively for nested objects; values of `overrides` take precedence. */
void mergeInto(boost::json::object &base, const boost::json::object &overrides)
{
    for (const auto &[key, value] : overrides) {
        auto *existing = base.if_contains(key);
        if (existing != nullptr && existing->is_object() && value.is_object()) {
            mergeInto(existing->get_object(), value.get_object());
        } else {
            base[key] = value;
        }
    }
}

/** @return The peer address of the first host in each data centre. */
boost::json::array seedsOf(std::span<const fleet_host> hosts)
{
    std::set<std::string> seen;
    boost::json::array seeds;
    for (const fleet_host &host : hosts) {
        if (seen.insert(host.dataCenter).second) {
            seeds.emplace_back(host.peer);
        }
    }
    return seeds;
}

boost::json::object addressObject(const std::string &address)
{
    return {{"address", address}};
}

/** @return A JSON object with the addresses of the backend servers by service. */
std::string directAddresses(std::span<const fleet_host> hosts)
{
    boost::json::object byService;
    for (const fleet_host &host : hosts) {
        if (!byService.contains(host.service)) {
            byService[host.service] = boost::json::array{};
        }
        byService[host.service].as_array().emplace_back(host.backend);
    }
    return boost::json::serialize(byService);
}
} // namespace

boost::json::object makeDaemonSettings(const fleet_host &host, const fleet_options &options, std::span<const fleet_host> hosts, const std::string &platform)
{
    boost::json::object settings{{"host", host.name},
                                 {"data_center", host.dataCenter},
                                 {"edge", addressObject(host.edge)},
                                 {"local", addressObject(host.local)},
                                 {"peer", addressObject(host.peer)},
                                 {"admin", addressObject(host.admin)},
                                 {"seeds", seedsOf(hosts)},
                                 {"fleet_key", fleetKey},
                                 {"platform", addressObject(platform)}};
    if (options.mode == fleet_mode::no_admission) {
        settings["gate"] = boost::json::object{{"enabled", false}};
    }
    mergeInto(settings, options.settings);
    return settings;
}

process startDaemon(const fleet_host &host, const boost::json::object &settings, const std::string &folder)
{
    const std::string file = folder + "/" + host.name + ".json";
    std::ofstream(file) << boost::json::serialize(settings) << "\n";
    return process({programPath("cicadamux"), {"daemon", "--settings=" + file}, folder + "/" + host.name + ".daemon.log"});
}

process
startBackend(const fleet_host &host, const fleet_service &service, const fleet_options &options, std::span<const fleet_host> hosts, const std::string &folder)
{
    std::vector<std::string> arguments{"--address=" + host.backend,
                                       "--service=" + service.name,
                                       "--slots=" + std::to_string(service.slots),
                                       "--connections=" + std::to_string(service.connections),
                                       "--service_ms=" + std::to_string(service.serviceMs),
                                       "--calls=" + service.calls,
                                       "--retries=" + std::to_string(service.retries),
                                       "--call_timeout_ms=" + std::to_string(service.callTimeout.count)};
    if (options.mode == fleet_mode::direct) {
        arguments.push_back("--direct=" + directAddresses(hosts));
    } else {
        arguments.push_back("--local=" + host.local);
    }
    arguments.insert(arguments.end(), service.arguments.begin(), service.arguments.end());
    process started({programPath("backend_standin"), arguments, folder + "/" + host.name + ".backend.log"});
    started.waitForLine("ready", options.readyTimeout);
    return started;
}

namespace
{
/** Repeats a request until it is answered with status 200. Each attempt has a new id, so that the daemon doesn't count it as a retry. */
void probeUntilOk(process &subject, const std::string &address, http_message request, clock_ms timeout)
{
    const clock_ms end = steadyNow() + timeout;
    std::uint64_t probes = 0;
    while (true) {
        request.body = formatPayload("ready-" + address + "-" + std::to_string(++probes));
        const http_reply reply = callHttp(address, request, probeTimeout);
        if (reply.failure == http_failure::none && reply.message.status == statusOk) {
            return;
        }
        if (!subject.isRunning() || steadyNow() > end) {
            throw process_error("not ready at " + address + request.target + ": " + std::string(toString(reply.failure)) + " " + reply.message.body);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(probePeriod.count));
    }
}
} // namespace

void waitUntilReady(process &subject, const std::string &address, std::string_view target, clock_ms timeout)
{
    http_message request;
    request.method = "GET";
    request.target = target;
    probeUntilOk(subject, address, request, timeout);
}

void waitUntilRoutes(process &daemon, const std::string &edge, const std::string &policy, clock_ms timeout)
{
    const auto parsed = boost::json::parse(policy);
    const auto &operation = parsed.at("operations").at(0);
    http_message request;
    request.method = "POST";
    request.target = operation.at("at_most_once").as_bool() ? "/cicadamux/ticket" : "/ready";
    request.headers
        = {{"cicadamux-service", std::string(parsed.at("service").as_string())}, {"cicadamux-operation", std::string(operation.at("name").as_string())}};
    probeUntilOk(daemon, edge, request, timeout);
}

} // namespace cicadamux::test::detail
