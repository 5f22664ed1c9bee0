/** @file platform_standin_main.cpp Stand-in of the platform: the object API in memory, with faults on command. */

#include "standin/platform_standin_api.h"
#include "support/http_server_base.h"
#include "support/standin_func.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <exception>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen at; port 0 takes a free one");

using namespace cicadamux::test;

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in of the platform for tests: docs/INTERFACE.md's object API, faults at /control.");
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
