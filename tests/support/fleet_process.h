/** @file fleet_process.h How each process of a test fleet is started. */

#pragma once

#include "support/fleet_type.h"
#include "support/process_base.h"

#include <boost/json/object.hpp>

#include <span>
#include <string>

namespace cicadamux::test::detail
{

/** @return The settings of one daemon, with the fleet's own laid over them. */
boost::json::object makeDaemonSettings(const fleet_host &host, const fleet_options &options, std::span<const fleet_host> hosts, const std::string &platform);

/** Writes the settings into the folder and starts a daemon on them. */
process startDaemon(const fleet_host &host, const boost::json::object &settings, const std::string &folder);

/** Starts a backend server on the host's address. */
process
startBackend(const fleet_host &host, const fleet_service &service, const fleet_options &options, std::span<const fleet_host> hosts, const std::string &folder);

/**
 * Asks an address until it answers with status 200.
 * @throws process_error if the process ends or the time is over before.
 */
void waitUntilReady(process &subject, const std::string &address, std::string_view target, clock_ms timeout);

/**
 * Asks a daemon until it routes the first operation of a service policy: for a ticket, where the operation is
 * at-most-once, else by a call.
 * @throws process_error if the process ends or the time is over before.
 */
void waitUntilRoutes(process &daemon, const std::string &edge, const std::string &policy, clock_ms timeout);

} // namespace cicadamux::test::detail
