/** @file link_type.h Messages that sidecars exchange over a link. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/id_type.h"
#include "membership/member_type.h"
#include "request/call_type.h"
#include "request/outcome_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadamux
{

/** Mean run time of a route's calls at a host's backend server. */
struct route_run {
    std::string route; ///< Name of the route.
    clock_ms mean; ///< Over the most recent calls.
};

/** What a backend server has stated about itself in its answers. */
struct server_statement {
    server_incarnation server; ///< Invalid if there is no server.
    bool isHeard = false; ///< The sender has had an answer of this server, so that the rate is known.
    std::optional<double> maxRate; ///< Requests a second that it takes from all hosts together.
    bool leaving = false; ///< It drains or has left, which is final for an incarnation.

    /** @return Whether it binds no host. */
    bool isEmpty() const
    {
        return !maxRate && !leaving;
    }

    bool operator==(const server_statement &) const = default;
};

/** State of a host as reported by itself. */
struct host_report {
    incarnation_id incarnation; ///< Of the sidecar; changes with each restart.
    std::uint64_t configurationVersion = 0; ///< Version in force at the host; 0 if none.
    server_state server = server_state::absent;
    std::uint32_t inUse = 0; ///< Slots in use.
    std::uint32_t waiting = 0; ///< Calls in the queue.
    std::uint32_t limit = 0; ///< Concurrency limit of the gate.
    std::uint32_t usableLimit = 0; ///< Slots that the rate stated by the server can keep in use; the limit if it states none.
    clock_ms noRoomFor; ///< Time until that rate has room for a call; 0 if it has.
    server_statement statement; ///< Of its backend server.
    clock_ms meanRun; ///< Mean run time of all calls at the backend server.
    bool leaving = false; ///< The sidecar is shutting down as planned.
    std::vector<route_run> runs; ///< Of routes with recent calls; only in answers to probes.
};

/** A call from the sidecar that received the request to the gate of the chosen host. */
struct link_call {
    call_id id; ///< Unique on its link.
    clock_ms remaining; ///< Time left until the caller's time limit.
    clock_ms maxWait; ///< Greatest time to wait for a slot.
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    bool idempotent = false;
    double repeatWeight = 0; ///< Probability that the call counts as a repeat: 1 if it is one, otherwise that of the calls at the backend server that made it.
    std::string service; ///< Target service by the route.
    std::string callerService; ///< Service of the host that received the request.
    std::string requestId; ///< Given by the caller; the backend server echoes it.
    std::string route; ///< Name of the route, for logs.
    std::string method;
    std::string target;
    std::vector<http_field> headers; ///< Without hop-by-hop headers.
    std::string body;
};

/** Why a nested call, made by the backend server while it ran a call, wasn't answered. */
enum class call_loss : std::uint8_t {
    none, ///< All nested calls were answered.
    failed, ///< A server failed or was unreachable.
    no_capacity ///< A gate refused it, or a call nested in it, because no slot was free.
};

/** Result of a call at the gate. */
struct link_reply {
    call_id id;
    call_outcome outcome = call_outcome::unknown;
    outcome_reason reason = outcome_reason::none; ///< `none` if answered.
    clock_ms retryAfter; ///< Time until a slot is expected to be free; for `not_run`.
    bool reachedServer = false; ///< The backend server received the call, even if it answered that it had not run it.
    call_loss lostCall = call_loss::none; ///< Whether a nested call went unanswered, so that a repeat would probably fail too.
    unsigned status = 0; ///< HTTP status of the answer.
    std::vector<http_field> headers; ///< Of the answer.
    std::string body; ///< Of the answer.
    host_report report;
};

struct link_cancel {
    call_id id;
};

/** Requests a host_report. */
struct link_probe {
};

/** Requests the configuration if it is newer than a version. */
struct configuration_request {
    std::uint64_t newerThan = 0; ///< Version that the sender has.
};

/** A configuration in the form in which the store holds it. */
struct configuration_offer {
    std::uint64_t version = 0;
    std::string text;
};

/** Hosts that the sender knows, for a receiver that can't reach the store. */
struct host_introduction {
    std::vector<std::string> entries; ///< In the form in which the store holds them.
};

/** First message of a link whose ends have a key. */
struct link_hello {
    std::string nonce; ///< Of the connecting end.
};

/** Answer to a link_hello. */
struct link_challenge {
    std::string nonce; ///< Of the accepting end.
    std::string proof; ///< That the accepting end has the key.
};

/** Answer to a link_challenge. */
struct link_proof {
    std::string proof; ///< That the connecting end has the key.
};

using link_message = std::variant<link_call,
                                  server_statement,
                                  link_reply,
                                  link_cancel,
                                  link_probe,
                                  host_report,
                                  configuration_request,
                                  configuration_offer,
                                  host_introduction,
                                  link_hello,
                                  link_challenge,
                                  link_proof>;

/** A message can't be decoded; the link is closed. */
class link_error : public error
{
public:
    using error::error;
};

} // namespace cicadamux
