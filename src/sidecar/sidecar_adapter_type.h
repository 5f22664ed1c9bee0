/** @file sidecar_adapter_type.h Interface to the platform that a sidecar runs on: names, formats and calls. */

#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "http/http_type.h"
#include "route/route_type.h"
#include "settings/settings_type.h"
#include "sidecar/server_registry_base.h"
#include "store/store_type.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadamux
{

/** Header names on the wire. */
struct wire_headers {
    std::string requestId; ///< Id that the caller gives to one attempt.
    std::string deadline; ///< Time that the caller waits, in milliseconds.
    std::string expectedServer; ///< Id of the only backend server incarnation that may execute the request.
    std::string callerService; ///< Service of the host that received the request.
    std::string signature; ///< Proves that a backend server made the response.
    std::string notExecuted; ///< The backend server did not execute the request.
    std::string serverRate; ///< Requests a second that the backend server takes from all hosts together.
    std::string serverLeaving; ///< `1`: the backend server ends soon.
};

/** Limits that the platform sets for the whole fleet. */
struct fleet_bounds {
    clock_ms heartbeat{1'500}; ///< Interval between heartbeats of a backend server.
    clock_ms drain{2'000}; ///< After a departure is acknowledged, no request may arrive any more.
    clock_ms grace{6'000}; ///< Time between the stop signal and the kill.
    double repeatRatio = 0.2; ///< Repeats allowed per request, over all hosts.
    double repeatSlack = 48; ///< Repeats allowed in each window on top of that, over all hosts.
    clock_ms repeatWindow{10'000}; ///< Window over which repeats are counted.
};

/** Thrown when content that the platform defines can't be decoded. */
class decode_error : public error
{
public:
    using error::error;
};

/** Message of a backend server to its host: a heartbeat or a departure. */
struct server_message {
    bool isDeparture = false;
    server_announcement announcement; ///< In a departure only `id` is set, and `startedAt` if the server sent it.
};

/** Names and codecs of the platform. They only translate; all decisions are made in the sidecar. */
struct sidecar_adapter {
    wire_headers headers;
    std::string readyPath; ///< Path of the platform's readiness check.
    std::string configurationKind; ///< Kind of the store object that holds the routes.
    std::string configurationName; ///< Name of that object.
    std::function<fleet_bounds(std::string_view text)> readBounds; ///< @throws decode_error
    std::function<route_configuration(std::string_view text)> readConfiguration; ///< @throws decode_error
    /** @return Nothing if the request is no such message. @throws decode_error if its content is invalid. */
    std::function<std::optional<server_message>(const http_request &request)> readServerMessage;
    std::function<std::unique_ptr<object_store>(boost::asio::io_context &context, const std::string &address, const store_options &options)> makeStore;
};

} // namespace cicadamux
