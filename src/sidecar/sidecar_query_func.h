/** @file sidecar_query_func.h Operator queries that a sidecar answers: `POST /query` on its `admin` address, sent by `cicadamux query`. */

#pragma once

#include "link/link_type.h"
#include "operator/query_result_type.h"
#include "sidecar/remote_host_status_type.h"
#include "sidecar/request_history_base.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** Snapshot of a sidecar's state that a query reads. */
struct sidecar_view {
    std::string host;
    std::uint64_t configuration = 0; ///< Version in force; 0 if there is none.
    std::size_t routes = 0;
    host_report own; ///< Report of this host's gate.
    std::vector<remote_host_status> hosts;
    const request_history *requests = nullptr;
    clock_ms now; ///< Wall clock.
};

/**
 * Answers one line: `why request ID`, `show in force`, `show hosts`, `show gate` or `help`.
 * Any other line gets the status `usage`. Never throws.
 */
query_result answerSidecarQuery(std::string_view line, const sidecar_view &view);

} // namespace cicadamux
