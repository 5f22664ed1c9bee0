/** @file sidecar_fleet_fake.h Complete sidecars in one process, with an in-memory platform and scripted backend servers. */

#pragma once

#include "fleet_fakes.h"
#include "sidecar/sidecar_base.h"
#include "support/http_client_base.h"
#include "support/http_server_base.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadamux::test
{

/** How a scripted backend server handles a request. */
using served_handler = std::function<void(const std::shared_ptr<test::http_exchange> &exchange)>;

/** One host: a sidecar and its backend server. */
struct sidecar_host {
    std::string name;
    std::string service;
    daemon_settings settings;
    std::unique_ptr<test::http_server> server; ///< Null if it is stopped.
    std::unique_ptr<sidecar> running; ///< Null if it is stopped.
    served_handler serve;
    std::vector<http_message> served; ///< Requests that reached the backend server, in order.
    std::uint64_t sequence = 0; ///< Of its last heartbeat.
};

/** Used by one thread, which also runs the sidecars. */
class sidecar_fleet
{
public:
    ~sidecar_fleet();
    sidecar_fleet(const sidecar_fleet &) = delete;
    sidecar_fleet &operator=(const sidecar_fleet &) = delete;

    /**
     * @param hostMemoryMb Setting `limits.memory_mb` of all hosts.
     * @param bootClock Advances also while the hosts are suspended.
     */
    explicit sidecar_fleet(std::uint32_t hostMemoryMb = 0, clock_source bootClock = bootNow);

    /** Starts a host whose backend server handles requests with `serve`, by default with a successful answer. */
    sidecar_host &add(const std::string &service, served_handler serve = answerWell);

    /** Stops a host's sidecar and starts a new one at the same addresses. */
    void restart(sidecar_host &host);

    void runFor(clock_ms span);

    /** Writes a configuration to the store. */
    void configure(route_configuration configuration);

    /** Sends a heartbeat of a host's backend server. */
    void beat(sidecar_host &host, const std::string &id, std::uint32_t slots, const std::string &state = "serving");

    /** Runs the fleet until the condition holds. @return False if it times out. */
    bool eventually(const std::function<bool()> &condition);

    /** Runs until all hosts report that they are ready. @return False if it times out. */
    bool ready();

    /** Sends a request to a host's sidecar. */
    std::shared_ptr<std::optional<http_reply>> send(sidecar_host &host, const std::string &target, clock_ms deadline, const std::string &body = {});

    /** Sends a request and runs until it is answered. */
    http_reply call(sidecar_host &host, const std::string &target, clock_ms deadline = clock_ms{5'000});

    /** Sends a message to any listener and runs until it is answered. */
    http_reply post(const std::string &address, const http_message &message);

    /** @return A valid answer of a backend server: signed and with the request's id. */
    static http_message goodAnswer(const http_message &request, unsigned status = 200);

    static void answerWell(const std::shared_ptr<test::http_exchange> &exchange);

    boost::asio::io_context context;
    fake_platform platform{context};
    std::uint64_t storesMade = 0; ///< Clients of the platform that sidecars have made.

private:
    sidecar_adapter makeAdapter();
    void startServer(sidecar_host &host);
    void startSidecar(sidecar_host &host);

    std::uint32_t m_memoryMb;
    clock_source m_bootClock;
    std::map<std::string, route_configuration> m_configurations; ///< By the text that stands for it in the store.
    std::vector<std::unique_ptr<sidecar_host>> m_hosts;
    std::vector<std::unique_ptr<sidecar>> m_ended;
    test::http_client m_client{context};
    std::uint64_t m_lastRequest = 0;
};

/** Two ready hosts: `entry` has no registered backend server, `target` has `i-1`, which serves `feebox`. */
struct two_hosts {
    /** @throws cicadamux::error if they aren't ready in time. */
    explicit two_hosts(bool idempotent, served_handler serve = sidecar_fleet::answerWell);

    sidecar_fleet fleet;
    sidecar_host &entry;
    sidecar_host &target;
};

/** A host whose backend server `i-1` serves `feebox` and holds each request until the test answers it. */
struct holding_host {
    /** @throws cicadamux::error if it isn't ready in time. */
    explicit holding_host(std::uint32_t slots, std::uint32_t memoryMb = 0, clock_source bootClock = bootNow);

    /** Runs until `count` requests are held. @return False if it times out. */
    bool holds(std::size_t count);

    sidecar_fleet fleet;
    std::vector<std::shared_ptr<test::http_exchange>> held;
    sidecar_host &entry;
};

/** @return A configuration with one route, `/SERVICE/`, for each service. */
route_configuration makeRoutes(std::uint64_t version, const std::vector<std::string> &services, bool idempotent, std::uint32_t maxServers);

} // namespace cicadamux::test
