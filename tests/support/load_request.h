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

/** How one request ended. */
enum class load_end : std::uint8_t { answered, failed, not_run, unknown, wrong_answer };

/** One request until its last attempt has ended. Used on one thread. */
struct load_request {
    const load_operation *operation = nullptr;
    std::string id;
    std::string address;
    std::string ticket;
    load_clock::time_point arrival; ///< When it was planned to be sent.
    std::uint32_t attempts = 0;
    bool everMaybeRan = false; ///< Some attempt didn't end as not-run.
    load_end end = load_end::unknown;
    std::string reason; ///< Of the last attempt that wasn't answered.
};

using load_request_pointer = std::shared_ptr<load_request>;

/** Sends the request, then its retries while its deadline lasts; calls `ended` once. */
void sendLoadRequest(http_client &client, const load_request_pointer &request, bool useTickets, std::function<void(const load_request_pointer &)> ended);

/** @return Milliseconds since the planned arrival. */
double elapsedMs(const load_request &request);

} // namespace cicadamux::test::detail
