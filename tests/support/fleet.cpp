/** @file fleet.cpp A small fleet of real processes for tests. */

#include "support/fleet_base.h"

#include "support/address_func.h"
#include "support/fleet_process.h"
#include "support/http_client_base.h"
#include "support/payload_func.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms controlTimeout{5'000};
constexpr clock_ms stopTimeout{40'000};
constexpr unsigned statusOk = 200;

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "cicadamux-fleet-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw process_error("can't create a temporary folder for the fleet");
    }
    return pattern;
}

http_message makeRequest(std::string method, std::string target, std::string body = {})
{
    http_message request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

boost::json::object parseObject(const http_reply &reply, const std::string &address)
{
    boost::system::error_code failure;
    auto parsed = boost::json::parse(reply.message.body, failure);
    if (reply.failure != http_failure::none || failure || !parsed.is_object()) {
        throw process_error("the reply from " + address + " is not a JSON object; HTTP failure: " + std::string(toString(reply.failure)));
    }
    return parsed.as_object();
}
} // namespace

struct test_fleet::state {
    explicit state(fleet_options chosen)
        : options(std::move(chosen))
        , folder(makeFolder())
    {
    }

    bool hasDaemons() const
    {
        return options.mode != fleet_mode::direct;
    }

    const fleet_service &serviceOf(const fleet_host &host) const;
    bool hasServiceOf(const std::string &policy) const;
    void makeHosts();
    void startPlatform();
    void startDaemons();
    void startBackends();
    void waitForRoutes();

    fleet_options options;
    std::string folder;
    std::string platformAddress;
    std::vector<fleet_host> hosts;
    std::optional<process> platform;
    std::vector<std::optional<process>> daemons; ///< By host.
    std::vector<std::optional<process>> backends; ///< By host.
    bool hasFailed = false;
};

const fleet_service &test_fleet::state::serviceOf(const fleet_host &host) const
{
    for (const fleet_service &service : options.services) {
        if (service.name == host.service) {
            return service;
        }
    }
    throw process_error("unknown service " + host.service + " of host " + host.name);
}

/** @return Whether this fleet runs backend servers of the policy's service. */
bool test_fleet::state::hasServiceOf(const std::string &policy) const
{
    const auto parsed = boost::json::parse(policy);
    const auto &name = parsed.at("service").as_string();
    return std::any_of(options.services.begin(), options.services.end(), [&](const fleet_service &service) {
        return name == service.name;
    });
}

void test_fleet::state::makeHosts()
{
    for (const fleet_service &service : options.services) {
        std::size_t number = 0;
        for (const std::string &dataCenter : service.dataCenters) {
            fleet_host host;
            host.name = service.name + "-" + std::to_string(++number);
            host.dataCenter = dataCenter;
            host.service = service.name;
            host.backend = freeAddress();
            if (hasDaemons()) {
                host.edge = freeAddress();
                host.local = freeAddress();
                host.peer = freeAddress();
                host.admin = freeAddress();
            }
            hosts.push_back(host);
        }
    }
    daemons.resize(hosts.size());
    backends.resize(hosts.size());
}

void test_fleet::state::startPlatform()
{
    platformAddress = freeAddress();
    platform.emplace(process_options{programPath("platform_standin"), {"--address=" + platformAddress}, folder + "/platform.log"});
    platform->waitForLine("ready", options.readyTimeout);
}

void test_fleet::state::startDaemons()
{
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        const auto settings = detail::makeDaemonSettings(hosts[host], options, hosts, platformAddress);
        daemons[host].emplace(detail::startDaemon(hosts[host], settings, folder));
    }
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        detail::waitUntilReady(*daemons[host], hosts[host].admin, "/ready", options.readyTimeout);
    }
}

void test_fleet::state::startBackends()
{
    for (std::size_t host = hosts.size(); host > 0; --host) {
        const fleet_host &chosen = hosts[host - 1];
        backends[host - 1].emplace(detail::startBackend(chosen, serviceOf(chosen), options, hosts, folder));
    }
}

test_fleet::test_fleet(fleet_options options)
    : m_state(std::make_unique<state>(std::move(options)))
{
    m_state->hasFailed = true;
    m_state->makeHosts();
    if (m_state->hasDaemons()) {
        m_state->startPlatform();
        if (!m_state->options.rankTable.empty()) {
            putObject("rank_table", "default", m_state->options.rankTable);
        }
        for (const std::string &policy : m_state->options.policies) {
            const auto parsed = boost::json::parse(policy);
            putObject("service_policy", std::string(parsed.as_object().at("service").as_string()), policy);
        }
        m_state->startDaemons();
    }
    m_state->startBackends();
    m_state->waitForRoutes();
    m_state->hasFailed = false;
}

test_fleet::~test_fleet()
{
    m_state->backends.clear();
    m_state->daemons.clear();
    m_state->platform.reset();
    if (m_state->hasFailed) {
        std::cerr << "logs of the failed fleet: " << m_state->folder << "\n";
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_state->folder, ignored);
}

std::span<const fleet_host> test_fleet::hosts() const
{
    return m_state->hosts;
}

std::vector<fleet_host> test_fleet::hostsOf(std::string_view service) const
{
    std::vector<fleet_host> found;
    for (const fleet_host &host : m_state->hosts) {
        if (host.service == service) {
            found.push_back(host);
        }
    }
    return found;
}

std::vector<std::string> test_fleet::entryAddresses(std::string_view service) const
{
    std::vector<std::string> addresses;
    for (const fleet_host &host : m_state->hosts) {
        if (m_state->hasDaemons()) {
            addresses.push_back(host.edge);
        } else if (host.service == service) {
            addresses.push_back(host.backend);
        }
    }
    return addresses;
}

const std::string &test_fleet::platformAddress() const
{
    return m_state->platformAddress;
}

process &test_fleet::platform()
{
    return m_state->platform.value();
}

process &test_fleet::daemon(std::size_t host)
{
    return m_state->daemons.at(host).value();
}

process &test_fleet::backend(std::size_t host)
{
    return m_state->backends.at(host).value();
}

void test_fleet::restartDaemon(std::size_t host)
{
    const fleet_host &chosen = m_state->hosts.at(host);
    m_state->daemons[host].reset();
    const auto settings = detail::makeDaemonSettings(chosen, m_state->options, m_state->hosts, m_state->platformAddress);
    m_state->daemons[host].emplace(detail::startDaemon(chosen, settings, m_state->folder));
    detail::waitUntilReady(*m_state->daemons[host], chosen.admin, "/ready", m_state->options.readyTimeout);
}

void test_fleet::restartBackend(std::size_t host)
{
    const fleet_host &chosen = m_state->hosts.at(host);
    m_state->backends[host].reset();
    m_state->backends[host].emplace(detail::startBackend(chosen, m_state->serviceOf(chosen), m_state->options, m_state->hosts, m_state->folder));
}

void test_fleet::putObject(std::string_view kind, std::string_view name, const std::string &value)
{
    const std::string target = "/objects/" + std::string(kind) + "/" + std::string(name);
    const http_reply present = callHttp(m_state->platformAddress, makeRequest("GET", target), controlTimeout);
    std::uint64_t version = 0;
    if (present.message.status == statusOk) {
        version = parseObject(present, m_state->platformAddress).at("version").to_number<std::uint64_t>();
    }
    http_message request = makeRequest("PUT", target, value);
    request.headers = {{"if-version", std::to_string(version)}};
    const http_reply written = callHttp(m_state->platformAddress, request, controlTimeout);
    if (written.failure != http_failure::none || written.message.status != statusOk) {
        throw process_error("the platform rejected the write of " + target + ": " + written.message.body);
    }
}

http_reply test_fleet::call(const std::string &address, std::string_view service, std::string_view operation, std::string_view id, clock_ms timeout) const
{
    http_message request = makeRequest("POST", "/" + std::string(operation), formatPayload(id));
    request.headers = {{"content-type", "application/json"},
                       {"cicadamux-service", std::string(service)},
                       {"cicadamux-operation", std::string(operation)},
                       {"cicadamux-deadline-ms", std::to_string(timeout.count)}};
    return callHttp(address, request, timeout + clock_ms{500});
}

void test_fleet::control(const std::string &address, const boost::json::object &command) const
{
    parseObject(callHttp(address, makeRequest("POST", "/control", boost::json::serialize(command)), controlTimeout), address);
}

boost::json::object test_fleet::counters(const std::string &address) const
{
    return parseObject(callHttp(address, makeRequest("GET", "/control"), controlTimeout), address);
}

namespace
{
/** Stops the processes concurrently; appends those that don't exit with code 0 to `problems`. */
void stopAll(std::vector<std::optional<process>> &processes, std::string_view what, std::string &problems)
{
    for (auto &subject : processes) {
        if (subject) {
            subject->requestStop();
        }
    }
    for (std::size_t host = 0; host < processes.size(); ++host) {
        if (!processes[host]) {
            continue;
        }
        try {
            const int code = processes[host]->wait(stopTimeout);
            if (code != 0) {
                problems += std::string(what) + " " + std::to_string(host) + " ended with " + std::to_string(code) + "; ";
            }
        } catch (const process_error &failure) {
            problems += std::string(what) + " " + std::to_string(host) + ": " + failure.what() + "; ";
        }
        processes[host].reset();
    }
}
} // namespace

std::string test_fleet::stop()
{
    std::string problems;
    stopAll(m_state->backends, "backend", problems);
    stopAll(m_state->daemons, "daemon", problems);
    if (m_state->platform && m_state->platform->stop(stopTimeout) != 0) {
        problems += "platform; ";
    }
    m_state->platform.reset();
    m_state->hasFailed = !problems.empty();
    return problems;
}

const std::string &test_fleet::folder() const
{
    return m_state->folder;
}

/** Waits until each daemon can route to each service that has a policy and backend servers in this fleet. */
void test_fleet::state::waitForRoutes()
{
    if (!hasDaemons()) {
        return;
    }
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        for (const std::string &policy : options.policies) {
            if (!hasServiceOf(policy)) {
                continue;
            }
            detail::waitUntilRoutes(*daemons[index], hosts[index].edge, policy, options.readyTimeout);
        }
    }
}

} // namespace cicadamux::test
