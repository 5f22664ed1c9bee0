/** @file sidecar_core_type.h State shared by the components of a sidecar. */

#pragma once

#include "core/byte_budget_base.h"
#include "core/clock_type.h"
#include "core/id_type.h"
#include "core/read_barrier_base.h"
#include "core/stall_detector_base.h"
#include "metrics/metrics_func.h"
#include "retry/repeat_budget_base.h"
#include "route/route_table_base.h"
#include "routing/router_base.h"
#include "settings/settings_type.h"
#include "sidecar/decision_log_base.h"
#include "sidecar/request_history_base.h"
#include "sidecar/sidecar_adapter_type.h"
#include "sidecar/stop_schedule_base.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>

namespace cicadamux
{

/** Only accessed by the thread that runs the event loop. */
struct sidecar_core {
    sidecar_core(boost::asio::io_context &ioContext, const daemon_settings &daemonSettings, sidecar_adapter platformAdapter, clock_source bootClock = bootNow);

    boost::asio::io_context &context;
    daemon_settings settings; ///< Live settings change; see sidecar::applySettings().
    const sidecar_adapter adapter;
    fleet_bounds bounds;
    const incarnation_id incarnation; ///< Random; identifies this process.
    route_table routes;
    router upstreams;
    repeat_budget repeats;
    daemon_metrics metrics;
    decision_log log;
    request_history failures;
    std::shared_ptr<byte_budget> heldBytes; ///< Limit on the bytes of requests and answers; null for no limit.
    stall_detector stalls;
    read_barrier reads; ///< Passed by what ends requests, so that answers that have come are delivered.
    std::optional<stop_schedule> stop; ///< Set once a planned stop has begun.

    /** @return Whether a request that arrives now is late in a planned stop and could still be open at its end. */
    bool wouldBeCutOff(clock_ms now, clock_ms limit) const
    {
        return stop && stop->wouldBeCutOff(now, limit);
    }
};

} // namespace cicadamux
