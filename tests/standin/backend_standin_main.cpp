/** @file backend_standin_main.cpp Stand-in of a backend server: slots, queue, service time, its own calls, faults on command. */

#include "standin/backend_standin_server.h"
#include "support/standin_func.h"

#include "core/error_type.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/json/parse.hpp>

#include <exception>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen at; port 0 takes a free one");
ABSL_FLAG(std::string, local, "", "IP:port of the daemon's local listener; empty: no daemon");
ABSL_FLAG(std::string, service, "pitchdesk", "name of the service");
ABSL_FLAG(std::uint32_t, slots, 50, "pieces of work at a time");
ABSL_FLAG(std::uint32_t, connections, 400, "connections at a time; further ones are closed at once");
ABSL_FLAG(double, service_ms, 10, "mean duration of the own work, milliseconds");
ABSL_FLAG(std::int64_t, connect_cost_ms, 1, "delay of a new connection, milliseconds");
ABSL_FLAG(std::int64_t, cold_ms, 0, "time after the start in which work takes three times as long, milliseconds");
ABSL_FLAG(bool, honour_deadline, false, "drop queued work whose deadline has passed");
ABSL_FLAG(std::uint32_t, retries, 0, "further attempts of each own call");
ABSL_FLAG(std::int64_t, call_timeout_ms, 1'000, "for one attempt of an own call, milliseconds");
ABSL_FLAG(std::string, calls, "{}", R"(own calls by operation: {"hold":[["feebox","charge"]]})");
ABSL_FLAG(std::string, direct, "{}", R"(addresses by service, called without a daemon: {"feebox":["127.0.0.1:9001"]})");

using namespace cicadamux::test;

namespace
{
constexpr cicadamux::clock_ms longestDrain{30'000};

std::string textOf(const boost::json::value &value)
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
            settings.calls[operation].push_back({textOf(call.as_array().at(0)), textOf(call.as_array().at(1))});
        }
    }
    const auto directByService = boost::json::parse(absl::GetFlag(FLAGS_direct));
    for (const auto &[service, addresses] : directByService.as_object()) {
        for (const auto &address : addresses.as_array()) {
            settings.direct[service].push_back(textOf(address));
        }
    }
    return settings;
}

/** @return 0 if the drain ended in time. */
int serve(const backend_settings &settings)
{
    boost::asio::io_context context(1);
    backend_server server(context, absl::GetFlag(FLAGS_address), {absl::GetFlag(FLAGS_connect_cost_ms)}, settings);
    boost::asio::steady_timer longest(context);
    int result = 1;
    onStopSignal(context, [&] {
        server.drain([&] {
            result = 0;
            context.stop();
        });
        longest.expires_after(std::chrono::milliseconds(longestDrain.count));
        longest.async_wait([&](boost::system::error_code) {
            context.stop();
        });
    });
    printReady(server.address());
    context.run();
    return result;
}
} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in of a backend server for tests: docs/INTERFACE.md's side of a backend server, faults at /control.");
    absl::ParseCommandLine(argc, argv);
    try {
        return serve(readFlags());
    } catch (const std::exception &failure) {
        std::cerr << "backend_standin: " << failure.what() << "\n";
        return 1;
    }
}
