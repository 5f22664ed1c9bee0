/** @file sidecar_query_func.h What a sidecar answers to operators: `POST /query` on `admin`, asked by `cicadamux query`. */

#pragma once

#include "link/link_type.h"
#include "operator/query_result_type.h"
#include "sidecar/request_memory_base.h"
#include "sidecar/seen_host_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** What the queries read; filled in for each one. */
struct sidecar_view {
    std::string host;
    std::uint64_t configuration = 0; ///< Version in force; 0: none.
    std::size_t routes = 0;
    host_report own; ///< Of this host's gate.
    std::vector<seen_host> hosts;
    const request_memory *requests = nullptr;
    clock_ms now; ///< Wall clock.
};

/**
 * Answers one line: `why request ID`, `show in force`, `show hosts`, `show gate` or `help`.
 * Anything else is told as not understood. Never throws.
 */
query_result answerSidecarQuery(std::string_view line, const sidecar_view &view);

} // namespace cicadamux
