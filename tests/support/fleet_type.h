/** @file fleet_type.h Services, options and hosts of a test fleet. */

#pragma once

#include "core/clock_type.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cicadamux::test
{

/** One service of a test fleet; each of its backend servers gets a host. */
struct fleet_service {
    std::string name;
    std::vector<std::string> dataCenters; ///< One backend server for each entry; a name may occur several times.
    std::uint32_t slots = 10;
    std::uint32_t connections = 400;
    double serviceMs = 10;
    std::string calls = "{}"; ///< Outgoing calls by operation, as JSON: {"hold":[["feebox","charge"]]}.
    std::uint32_t retries = 0; ///< Further attempts of each outgoing call.
    clock_ms callTimeout{1'000}; ///< For one attempt of an outgoing call.
    std::vector<std::string> arguments; ///< Further flags of backend_standin.
};

/** How the backend servers reach each other. */
enum class fleet_mode : std::uint8_t {
    full, ///< Through daemons.
    no_admission, ///< Through daemons whose gates admit everything.
    direct ///< Without daemons and platform: round robin over the called service's backend servers.
};

struct fleet_options {
    std::vector<fleet_service> services; ///< A service comes before those that it calls.
    fleet_mode mode = fleet_mode::full;
    std::string rankTable; ///< JSON of the `rank_table` object; empty: not written.
    std::vector<std::string> policies; ///< JSON of the `service_policy` objects.
    boost::json::object settings; ///< Override each daemon's settings, such as {"gate":{"enabled":false}}.
    clock_ms readyTimeout{15'000}; ///< For each process.
};

/** One host: a backend server and its daemon. Without a daemon, the daemon's addresses are empty. */
struct fleet_host {
    std::string name;
    std::string dataCenter;
    std::string service;
    std::string edge;
    std::string local;
    std::string peer;
    std::string admin;
    std::string backend; ///< The backend server's address.
};

} // namespace cicadamux::test
