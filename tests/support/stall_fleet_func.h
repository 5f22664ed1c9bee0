/** @file stall_fleet_func.h The fleet that process tests share: pitchdesk calls feebox, in two data centres. */

#pragma once

#include "support/fleet_base.h"

#include <cstdint>
#include <functional>

#include <string>
#include <string_view>

namespace cicadamux::test
{

/** @return pitchdesk on hosts 0 and 1, feebox on hosts 2 and 3, one of each in either data centre. */
fleet_options stallOptions();

/** Headers of a call beside service and operation. */
struct call_extras {
    std::string ticket;
    std::string context;
    std::string deadline; ///< Milliseconds; empty: the policy's.
};

/** Sends a call with further headers, on a connection of its own. */
http_reply callWith(const std::string &address, std::string_view service, std::string_view operation, std::string_view id, const call_extras &extras);

/** Takes a ticket for an operation. @return Empty if there is none. */
std::string takeTicket(const std::string &address, std::string_view service, std::string_view operation);

/** @return The headers `cicadamux-outcome` and `cicadamux-reason`, such as `not-run overloaded` or `answered`. */
std::string outcomeIn(const http_reply &reply);

/** @return The sum of a metric's samples over all daemons that answer; its name without the prefix, up to a brace or blank. */
double metricSum(const test_fleet &fleet, std::string_view name);

/** @return The sum of a metric's samples at one daemon. */
double metricAt(const std::string &admin, std::string_view name);

/** @return The sum of all violations of invariants that the daemons count. */
double violations(const test_fleet &fleet);

/** @return How often a backend server has run the request with this id. */
std::int64_t runsOf(const std::string &backend, std::string_view operation, std::string_view id);

/**
 * Probes each edge with a request to pitchdesk of its own: the same one again would count as a caller's retry.
 * @return Whether all were answered.
 */
bool allAnswer(const test_fleet &fleet, std::string_view operation);

/** Waits until a condition holds. @return Whether it did before the time was over. */
bool waitUntil(const std::function<bool()> &holds, clock_ms timeout);

} // namespace cicadamux::test
