/** @file two_service_fleet_func.h A test fleet with two services in two data centres: pitchdesk calls feebox. */

#pragma once

#include "support/fleet_base.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cicadamux::test
{

/** @return pitchdesk on hosts 0 and 1 and feebox on hosts 2 and 3; each service has one host in each data centre. */
fleet_options twoServiceOptions();

/** Optional headers of a call. */
struct call_extras {
    std::string ticket;
    std::string context;
    std::string deadline; ///< Milliseconds; empty: the deadline of the policy applies.
};

/** Sends a call with optional headers on a new connection. */
http_reply callWith(const std::string &address, std::string_view service, std::string_view operation, std::string_view id, const call_extras &extras);

/** Requests a ticket for an operation. @return The ticket; empty if none was issued. */
std::string takeTicket(const std::string &address, std::string_view service, std::string_view operation);

/** @return The headers `cicadamux-outcome` and `cicadamux-reason`, such as `not-run overloaded` or `answered`. */
std::string outcomeIn(const http_reply &reply);

/**
 * @param name Without the prefix `cicadamux_`. All samples that begin with it are added up; append `{` or a blank to match exactly one metric.
 * @return The sum of a metric's samples over all daemons that answer.
 */
double metricSum(const test_fleet &fleet, std::string_view name);

/** @return The sum of a metric's samples at one daemon. */
double metricAt(const std::string &admin, std::string_view name);

/** @return The number of invariant violations that the daemons have counted. */
double violations(const test_fleet &fleet);

/** @return How often a backend server has run the request with this id; -1 without a valid answer. */
std::int64_t runsOf(const std::string &backend, std::string_view operation, std::string_view id);

/**
 * Sends one request to pitchdesk through each edge. Each request has a new id, since a repeated id would count as a
 * retry of the caller.
 * @return Whether all requests were answered.
 */
bool allAnswer(const test_fleet &fleet, std::string_view operation);

/** Polls a condition until it holds or the timeout expires. @return Whether it held in time. */
bool waitUntil(const std::function<bool()> &condition, clock_ms timeout);

} // namespace cicadamux::test
