/** @file platform_standin_main.cpp Stand-in for the platform: the object API with an in-memory store and fault injection. */

#include "standin/platform_standin_api.h"
#include "support/http_server_base.h"
#include "support/standin_func.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <exception>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen on; port 0 selects a free port");

using namespace cicadamux::test;

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for the platform in tests: implements the object API of docs/INTERFACE.md; faults are injected at /control.");
    absl::ParseCommandLine(argc, argv);
    try {
        boost::asio::io_context context(1);
        platform_api api(context);
        http_server server(context, absl::GetFlag(FLAGS_address), [&](const std::shared_ptr<http_exchange> &exchange) {
            api.handle(exchange);
        });
        onStopSignal(context, [&] {
            context.stop();
        });
        printReady(server.address());
        context.run();
        return 0;
    } catch (const std::exception &failure) {
        std::cerr << "platform_standin: " << failure.what() << "\n";
        return 1;
    }
}
