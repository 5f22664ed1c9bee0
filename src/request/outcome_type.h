/** @file outcome_type.h Call outcomes and their reasons; documented for callers in docs/INTERFACE.md. */

#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux
{

/** What the caller knows about whether a call has run. */
enum class call_outcome : std::uint8_t {
    answered, ///< The complete answer of the backend server was received.
    not_run, ///< Refused; guaranteed not to have run.
    unknown ///< The call may or may not have run.
};

/** Why a call wasn't answered. The values are part of the wire format: append only. */
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
    count ///< Number of reasons; not a reason.
};

/** Value of `rankAdmitted` where no rank applies. */
constexpr int noRankAdmitted = -1;

/** Why and where a call was refused or failed. */
struct refusal_detail {
    outcome_reason reason = outcome_reason::none;
    std::string service; ///< Service where this was decided.
    std::string operation;
    std::string host; ///< Host of the daemon that decided this.
    std::string dataCenter; ///< Data centre of that daemon.
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank that daemon admitted at that time.
};

/** @return The one outcome that a reason implies. */
call_outcome outcomeOf(outcome_reason reason);

/** @return The HTTP status that callers see for a reason other than `none`. */
unsigned statusOf(outcome_reason reason);

/** @return The name on the wire, such as `not-run`. */
std::string_view toString(call_outcome outcome);

/** @return The name on the wire, such as `queue_timeout`. */
std::string_view toString(outcome_reason reason);

/** @return Empty if no reason has this name. */
std::optional<outcome_reason> parseReason(std::string_view name);

/** Formats the JSON body for a call that wasn't answered; documented in docs/INTERFACE.md. */
std::string formatRefusal(const refusal_detail &detail, root_id root, rank_id rank);

} // namespace cicadamux
