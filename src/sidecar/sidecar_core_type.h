/** @file sidecar_core_type.h What the parts of one sidecar share. */

#pragma once

#include "core/byte_budget_base.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "metrics/metrics_func.h"
#include "retry/repeat_budget_base.h"
#include "route/route_table_base.h"
#include "routing/router_base.h"
#include "settings/settings_type.h"
#include "sidecar/decision_log_base.h"
#include "sidecar/request_memory_base.h"
#include "sidecar/sidecar_adapter_type.h"

#include <boost/asio/io_context.hpp>

#include <string>

namespace cicadamux
{

/** All state of a sidecar belongs to the one thread that runs its loop. */
struct sidecar_core {
    sidecar_core(boost::asio::io_context &ioContext, const daemon_settings &daemonSettings, sidecar_adapter platformAdapter);

    boost::asio::io_context &context;
    const daemon_settings settings;
    const sidecar_adapter adapter;
    const fleet_bounds bounds;
    const incarnation_id incarnation; ///< This life of the sidecar.
    route_table routes;
    router upstreams;
    repeat_budget repeats;
    daemon_metrics metrics;
    decision_log log;
    request_memory failures;
    std::shared_ptr<byte_budget> heldBytes; ///< Of requests and answers; null: no bound.
    bool stopping = false; ///< A planned stop has begun.
};

} // namespace cicadamux
