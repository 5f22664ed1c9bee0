/** @file outcome_type.h How a call can end; docs/INTERFACE.md tells callers the same. */

#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux
{

/** The three ways for a call to end. */
enum class call_outcome : std::uint8_t {
    answered, ///< The whole answer of the backend server.
    not_run, ///< Refused; surely not run.
    unknown ///< It may or may not have run.
};

/** Why a call wasn't answered. The order is that of the wire format: append only. */
enum class outcome_reason : std::uint8_t {
    none, ///< The call was answered.
    bad_request,
    too_large,
    no_policy,
    no_upstream,
    overloaded,
    queue_timeout,
    deadline_passed,
    retries_exhausted,
    shed,
    draining,
    cancelled,
    parent_gone,
    ticket_required,
    ticket_invalid,
    ticket_expired,
    daemon_busy,
    connection_lost,
    answer_broken,
    answer_timeout,
    ticket_home_gone,
    no_route, ///< The configuration has no route for the request.
    count ///< Number of reasons; is none itself.
};

/** Rank admitted as reported where no rank is. */
constexpr int noRankAdmitted = -1;

/** Explains a call that wasn't answered, and where that was decided. */
struct refusal_detail {
    outcome_reason reason = outcome_reason::none;
    std::string service; ///< Service at which it was decided.
    std::string operation;
    std::string host; ///< Host of the daemon that decided.
    std::string dataCenter; ///< Data centre of that daemon.
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted there at that moment.
};

/** @return The outcome that a reason implies; each reason has exactly one. */
call_outcome outcomeOf(outcome_reason reason);

/** @return The HTTP status that callers see for a reason other than `none`. */
unsigned statusOf(outcome_reason reason);

/** @return The name on the wire, such as `not-run`. */
std::string_view toString(call_outcome outcome);

/** @return The name on the wire, such as `queue_timeout`. */
std::string_view toString(outcome_reason reason);

/** @return Nothing if no reason has this name. */
std::optional<outcome_reason> parseReason(std::string_view name);

/** Writes the JSON body of docs/INTERFACE.md for a call that wasn't answered. */
std::string formatRefusal(const refusal_detail &detail, root_id root, rank_id rank);

} // namespace cicadamux
