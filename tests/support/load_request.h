/** @file load_request.h One request of the load generator, with its ticket and its retries. */

#pragma once

#include "support/http_client_base.h"
#include "support/load_type.h"

#include <chrono>
#include <memory>
#include <string>

namespace cicadamux::test::detail
{

using load_clock = std::chrono::steady_clock; ///< Latencies are below the resolution of clock_ms.

/** The outcome of one request. */
enum class load_outcome : std::uint8_t { answered, failed, not_run, unknown, wrong_answer };

/** The state of one request until its last attempt has ended. Used on one thread only. */
struct load_request {
    const load_operation *operation = nullptr;
    std::string id;
    std::string address;
    std::string ticket;
    load_clock::time_point arrival; ///< When it was planned to be sent.
    std::uint32_t attempts = 0;
    bool mayHaveRun = false; ///< At least one attempt ended otherwise than as not-run.
    load_outcome outcome = load_outcome::unknown;
    std::string reason; ///< Of the last attempt that got no valid answer.
};

using load_request_pointer = std::shared_ptr<load_request>;

/** Sends the request, and its retries until the deadline; calls `ended` exactly once. */
void sendLoadRequest(http_client &client, const load_request_pointer &request, bool useTickets, std::function<void(const load_request_pointer &)> ended);

/** @return Milliseconds since the planned arrival. */
double elapsedMs(const load_request &request);

} // namespace cicadamux::test::detail
