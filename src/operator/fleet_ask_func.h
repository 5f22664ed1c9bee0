/** @file fleet_ask_func.h Asks many daemons the same question, in bounded parallel. */

#pragma once

#include "operator/operator_hooks_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadamux::detail
{

/** One daemon's part of a fleet's answer. */
struct asked_part {
    member_record member;
    std::optional<std::string> json; ///< Nothing: it gave no answer in time.
};

/** Called once, with a part for each member in their order. */
using parts_handler = std::function<void(std::vector<asked_part> parts)>;

constexpr std::size_t asksPerDataCenter = 32; ///< Asked at a time, so that a silent data centre holds up no other.
constexpr clock_ms askTimeLimit{1'000}; ///< For one daemon's answer.
constexpr clock_ms fleetTimeLimit{4'000}; ///< For all answers together.

/** Asks each member; this daemon answers itself. Answers that come after the time limits are dropped. */
void askFleet(std::shared_ptr<const operator_hooks> hooks, std::vector<member_record> members, std::string query, parts_handler handler);

} // namespace cicadamux::detail
