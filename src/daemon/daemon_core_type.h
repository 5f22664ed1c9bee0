/** @file daemon_core_type.h What the parts of one daemon share. */

#pragma once

#include "admission/level_board_base.h"
#include "core/clock_type.h"
#include "core/rcu_type.h"
#include "daemon/held_calls_base.h"
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

/** The aggregates of one daemon; all of them are thread-safe. */
struct daemon_core {
    daemon_core(boost::asio::io_context &ioContext, const daemon_settings &daemonSettings, incarnation_id life);

    boost::asio::io_context &context;
    const daemon_settings settings;
    const incarnation_id incarnation; ///< This life of the daemon.
    rcu_snapshot<policy_set> policies; ///< In force.
    held_calls held; ///< Calls that this host's backend server is working on.
    retry_ledger ledger;
    caller_budget callers;
    level_board levels;
    router routes;
    ticket_home tickets;
    peer_client peers;
    daemon_metrics metrics;
    std::atomic<bool> stopping{false}; ///< A planned stop has begun: nothing new is taken in.
    std::atomic<std::uint32_t> dispatched{0}; ///< Calls that this daemon has sent on and that haven't ended.
};

/** Makes the detail of a refusal that this daemon decides. */
refusal_detail refusalHere(const daemon_core &core, outcome_reason reason, std::string_view service, std::string_view operation);

} // namespace cicadamux
