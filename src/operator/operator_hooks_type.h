/** @file operator_hooks_type.h Interface of a daemon to operators' queries; tests provide fakes. */

#pragma once

#include "admission/gate_type.h"
#include "configuration/configuration_base.h"
#include "core/clock_type.h"
#include "core/random_func.h"
#include "membership/member_type.h"
#include "operator/refusal_log_base.h"
#include "policy/policy_base.h"
#include "routing/router_base.h"
#include "store/store_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** Called once with a daemon's reply as JSON, or with nothing if none arrived in time. May be called on any thread. */
using daemon_reply_handler = std::function<void(std::optional<std::string> json)>;

/**
 * A daemon's state and actions for operators' queries. All functions are set, thread-safe and non-blocking, and are called without
 * locks held. The hooks outlive each query that uses them.
 */
struct operator_hooks {
    std::string host; ///< Of this daemon.
    std::string dataCenter; ///< Of this daemon.
    clock_source wallNow; ///< Wall clock, milliseconds since the Unix epoch.
    random_source random; ///< For operation ids, which must not be guessable.

    std::function<std::shared_ptr<const std::vector<member_record>>()> view; ///< All members, including this daemon.
    std::function<std::vector<std::string>()> dataCenters; ///< All known ones, reachable or not; see data_center_history.
    std::function<std::vector<upstream_state>()> upstreams; ///< In this daemon's routing.
    std::function<std::optional<gate_snapshot>()> gate; ///< Nothing while no backend server is announced.
    std::function<clock_ms()> steadyNow; ///< The clock of gate_snapshot::limitMovedAt.
    const refusal_log *refusals = nullptr; ///< Never null in use.

    std::function<std::shared_ptr<const policy_set>()> policies; ///< In force at this daemon.
    std::function<std::vector<object_generation>()> generations; ///< In force at this daemon.
    std::function<std::uint64_t()> configurationDigest; ///< Of what is in force at this daemon.
    std::function<offer_result(const configuration_object &)> applyConfiguration; ///< Applies an object that the platform has just accepted.

    /** Sends a query to one other daemon with the gRPC method `Ask`; the other daemon replies with answerAsk(). */
    std::function<void(const member_record &member, std::string query, clock_ms timeLimit, daemon_reply_handler handler)> queryDaemon;
    std::function<void(clock_ms after, std::function<void()> action)> schedule; ///< Calls an action after a delay, on one of the daemon's threads.
    object_store *platform = nullptr; ///< Null without a platform.

    std::function<void(bool draining)> setDraining; ///< Starts or ends draining of this host by an operator.
};

} // namespace cicadamux
