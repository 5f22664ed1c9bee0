/** @file fleet_base.h A small fleet of real processes: platform stand-in, daemons, backend servers. */

#pragma once

#include "support/fleet_type.h"
#include "support/http_message_type.h"
#include "support/process_base.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::test
{

/**
 * Starts all processes and waits until each daemon reports that it is ready and each service can be called. The
 * destructor stops all processes. Settings and logs are written to a temporary folder, which is kept if the fleet
 * fails to start or stop() reports a problem.
 *
 * Usage in a test:
 *
 *     fleet_options options;
 *     options.services = { { "feebox", { "tbs-1", "tbs-2" } } };
 *     options.rankTable = "...";
 *     options.policies = { "..." };
 *     test_fleet fleet(options);
 *     const http_reply reply = fleet.call(fleet.hosts()[0].edge, "feebox", "charge", "id-1", { 1'000 });
 *     fleet.daemon(0).kill();
 *     CHECK(fleet.stop() == "");
 */
class test_fleet
{
public:
    /** @throws process_error if a process doesn't start or doesn't become ready in time. */
    explicit test_fleet(fleet_options options);
    ~test_fleet();
    test_fleet(const test_fleet &) = delete;
    test_fleet &operator=(const test_fleet &) = delete;

    std::span<const fleet_host> hosts() const;

    /** @return The hosts of one service. */
    std::vector<fleet_host> hostsOf(std::string_view service) const;

    /** @return The addresses that clients call for a service: the edges of all daemons, or the service's backend servers in direct mode. */
    std::vector<std::string> entryAddresses(std::string_view service) const;

    const std::string &platformAddress() const;

    process &platform();
    process &daemon(std::size_t host);
    process &backend(std::size_t host);

    /** Restarts a daemon on the same addresses; kills it first if it still runs. */
    void restartDaemon(std::size_t host);

    /** Restarts a backend server on the same address; kills it first if it still runs. */
    void restartBackend(std::size_t host);

    /**
     * Writes an object to the platform, regardless of its present version.
     * @throws process_error if the platform rejects the write.
     */
    void putObject(std::string_view kind, std::string_view name, const std::string &value);

    /** Sends one call whose body contains `id`, on a new connection. */
    http_reply call(const std::string &address, std::string_view service, std::string_view operation, std::string_view id, clock_ms timeout) const;

    /** Sends a command to a stand-in's /control, such as {"fault":"slow","factor":10}. */
    void control(const std::string &address, const boost::json::object &command) const;

    /** @return The counters of a stand-in. */
    boost::json::object counters(const std::string &address) const;

    /**
     * Stops all processes gracefully: the backend servers drain first, then the daemons stop, then the platform.
     * @return The processes that didn't exit with code 0; empty if all did.
     */
    std::string stop();

    /** @return The temporary folder with the settings and logs. */
    const std::string &folder() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux::test
