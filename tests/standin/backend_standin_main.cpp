/** @file backend_standin_main.cpp Stand-in for a backend server: slots, a queue, service time, outgoing calls and fault injection. */

#include "standin/backend_standin_server.h"
#include "support/standin_func.h"

#include "core/error_type.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/json/parse.hpp>

#include <exception>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen on; port 0 selects a free port");
ABSL_FLAG(std::string, local, "", "IP:port of the daemon's local listener; empty: no daemon");
ABSL_FLAG(std::string, service, "pitchdesk", "name of the service");
ABSL_FLAG(std::uint32_t, slots, 50, "maximum number of requests processed concurrently");
ABSL_FLAG(std::uint32_t, connections, 400, "maximum number of open connections; further ones are closed immediately");
ABSL_FLAG(double, service_ms, 10, "mean processing time of a request without its outgoing calls, milliseconds");
ABSL_FLAG(std::int64_t, connect_cost_ms, 1, "delay before the first request of a new connection is read, milliseconds");
ABSL_FLAG(std::int64_t, cold_ms, 0, "time after the start during which processing takes three times as long, milliseconds");
ABSL_FLAG(bool, honour_deadline, false, "drop queued requests whose deadline has passed");
ABSL_FLAG(std::uint32_t, retries, 0, "further attempts of each outgoing call");
ABSL_FLAG(std::int64_t, call_timeout_ms, 1'000, "timeout of one attempt of an outgoing call, milliseconds");
ABSL_FLAG(std::string, calls, "{}", R"(outgoing calls by operation: {"hold":[["feebox","charge"]]})");
ABSL_FLAG(std::string, direct, "{}", R"(backend addresses by service, for calls without a daemon: {"feebox":["127.0.0.1:9001"]})");

using namespace cicadamux::test;

namespace
{
constexpr cicadamux::clock_ms drainTimeout{30'000};

std::string getString(const boost::json::value &value)
{
    return std::string(value.as_string());
}

backend_settings readFlags()
{
    backend_settings settings;
    settings.localAddress = absl::GetFlag(FLAGS_local);
    settings.service = absl::GetFlag(FLAGS_service);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.connections = absl::GetFlag(FLAGS_connections);
    settings.serviceMs = absl::GetFlag(FLAGS_service_ms);
    settings.coldFor = {absl::GetFlag(FLAGS_cold_ms)};
    settings.honoursDeadline = absl::GetFlag(FLAGS_honour_deadline);
    settings.retries = absl::GetFlag(FLAGS_retries);
    settings.callTimeout = {absl::GetFlag(FLAGS_call_timeout_ms)};
    const auto callsByOperation = boost::json::parse(absl::GetFlag(FLAGS_calls));
    for (const auto &[operation, calls] : callsByOperation.as_object()) {
        for (const auto &call : calls.as_array()) {
            settings.calls[operation].push_back({getString(call.as_array().at(0)), getString(call.as_array().at(1))});
        }
    }
    const auto directByService = boost::json::parse(absl::GetFlag(FLAGS_direct));
    for (const auto &[service, addresses] : directByService.as_object()) {
        for (const auto &address : addresses.as_array()) {
            settings.direct[service].push_back(getString(address));
        }
    }
    return settings;
}

/** @return Exit code: 0 if the drain completed within drainTimeout. */
int serve(const backend_settings &settings)
{
    boost::asio::io_context context(1);
    backend_server server(context, absl::GetFlag(FLAGS_address), {absl::GetFlag(FLAGS_connect_cost_ms)}, settings);
    boost::asio::steady_timer drainTimer(context);
    int exitCode = 1;
    onStopSignal(context, [&] {
        server.drain([&] {
            exitCode = 0;
            context.stop();
        });
        drainTimer.expires_after(std::chrono::milliseconds(drainTimeout.count));
        drainTimer.async_wait([&](boost::system::error_code) {
            context.stop();
        });
    });
    printReady(server.address());
    context.run();
    return exitCode;
}
} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Stand-in for a backend server in tests: implements the backend server's side of docs/INTERFACE.md; faults are injected at /control.");
    absl::ParseCommandLine(argc, argv);
    try {
        return serve(readFlags());
    } catch (const std::exception &failure) {
        std::cerr << "backend_standin: " << failure.what() << "\n";
        return 1;
    }
}
