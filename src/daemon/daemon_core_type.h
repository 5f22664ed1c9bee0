/** @file daemon_core_type.h State shared by the components of a daemon. */

#pragma once

#include "admission/level_cache_base.h"
#include "core/clock_type.h"
#include "core/rcu_type.h"
#include "daemon/active_calls_base.h"
#include "metrics/metrics_func.h"
#include "peer/peer_client_base.h"
#include "policy/policy_base.h"
#include "retry/caller_budget_base.h"
#include "retry/retry_ledger_base.h"
#include "routing/router_base.h"
#include "settings/settings_type.h"
#include "ticket/ticket_home_base.h"

#include <boost/asio/io_context.hpp>

#include <atomic>

namespace cicadamux
{

/** State shared by the components of a daemon. All members are thread-safe. */
struct daemon_core {
    daemon_core(boost::asio::io_context &ioContext, const daemon_settings &daemonSettings, incarnation_id incarnationId);

    boost::asio::io_context &context;
    const daemon_settings settings;
    const incarnation_id incarnation; ///< Identifies this run of the daemon; a restart gets a new one.
    rcu_snapshot<policy_set> policies; ///< Policies in force.
    active_calls activeCalls; ///< Calls that this host's backend server is working on.
    retry_ledger ledger;
    caller_budget callers;
    level_cache levels;
    router routes;
    ticket_home tickets;
    peer_client peers;
    daemon_metrics metrics;
    std::atomic<bool> stopping{false}; ///< A graceful shutdown has begun; new calls are refused.
    std::atomic<std::uint32_t> dispatched{0}; ///< Calls in progress in the dispatcher.
};

/** Creates the details of a refusal by this daemon. */
refusal_detail makeRefusalDetail(const daemon_core &core, outcome_reason reason, std::string_view service, std::string_view operation);

} // namespace cicadamux
