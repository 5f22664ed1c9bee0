/** @file fleet_ask_func.h Sends the same query to many daemons, with bounded concurrency. */

#pragma once

#include "operator/operator_hooks_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadamux::detail
{

/** One daemon's reply to a query that was sent to many. */
struct member_reply {
    member_record member;
    std::optional<std::string> json; ///< Nothing if no reply arrived in time.
};

/** Called once, with one reply for each member, in the order of the members. */
using replies_handler = std::function<void(std::vector<member_reply> replies)>;

constexpr std::size_t asksPerDataCenter = 32; ///< Queries in flight to one data centre; separate limits keep a silent data centre from delaying the others.
constexpr clock_ms askTimeLimit{1'000}; ///< For the reply of one daemon.
constexpr clock_ms fleetTimeLimit{4'000}; ///< For all replies together.

/** Sends a query to each member; this daemon's own reply is made locally. Replies after the time limits are dropped. */
void askFleet(std::shared_ptr<const operator_hooks> hooks, std::vector<member_record> members, std::string query, replies_handler handler);

} // namespace cicadamux::detail
