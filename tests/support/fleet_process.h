/** @file fleet_process.h Starts the processes of a test fleet. */

#pragma once

#include "support/fleet_type.h"
#include "support/process_base.h"

#include <boost/json/object.hpp>

#include <span>
#include <string>

namespace cicadamux::test::detail
{

/** @return The settings of one daemon; fleet_options::settings overrides the defaults. */
boost::json::object makeDaemonSettings(const fleet_host &host, const fleet_options &options, std::span<const fleet_host> hosts, const std::string &platform);

/** Writes the settings to a file in the folder and starts a daemon with them. */
process startDaemon(const fleet_host &host, const boost::json::object &settings, const std::string &folder);

/** Starts a backend server on the host's address. */
process
startBackend(const fleet_host &host, const fleet_service &service, const fleet_options &options, std::span<const fleet_host> hosts, const std::string &folder);

/**
 * Polls an address until it answers with status 200.
 * @throws process_error if the process ends or the timeout expires first.
 */
void waitUntilReady(process &subject, const std::string &address, std::string_view target, clock_ms timeout);

/**
 * Polls a daemon until it routes the first operation of a service policy. The probe requests a ticket if the
 * operation is at-most-once, and makes a call otherwise.
 * @throws process_error if the process ends or the timeout expires first.
 */
void waitUntilRoutes(process &daemon, const std::string &edge, const std::string &policy, clock_ms timeout);

} // namespace cicadamux::test::detail
