/** @file daemon.cpp Main function of a daemon: threads and signals. */

#include "daemon/daemon_func.h"

#include "core/event_loop_func.h"
#include "core/invariant_func.h"
#include "core/log_func.h"
#include "daemon/daemon_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <thread>
#include <vector>

namespace cicadamux
{

namespace
{

void logViolation(invariant which, std::string_view detail)
{
    logEvent(log_level::error, "invariant_violated", {{"invariant", toString(which)}, {"detail", detail}});
}

std::vector<std::thread> startThreads(boost::asio::io_context &context, std::uint32_t count)
{
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        threads.emplace_back([&context] {
            runEventLoop(context, logHandlerFailure);
        });
    }
    return threads;
}

} // namespace

int runDaemon(const daemon_settings &settings)
{
    setUpLog(settings.host, settings.logFile, settings.logLevel);
    setInvariantHook(logViolation);
    std::signal(SIGPIPE, SIG_IGN);

    boost::asio::io_context context(static_cast<int>(settings.threads));
    boost::asio::io_context control(1); // Runs on the main thread; handles signals and shutdown.
    const auto work = boost::asio::make_work_guard(context);
    daemon_process daemon(context, settings);
    daemon.start();
    std::vector<std::thread> threads = startThreads(context, settings.threads);

    boost::asio::signal_set signals(control, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        boost::asio::post(context, [&] {
            daemon.drain([&] {
                control.stop();
            });
        });
        signals.async_wait([&](boost::system::error_code, int) { // A second signal ends the drain at once.
            control.stop();
        });
    });
    control.run();

    daemon.stop();
    context.stop();
    for (std::thread &thread : threads) {
        thread.join();
    }
    logEvent(log_level::info, "daemon_stopped", {});
    flushLog();
    return 0;
}

} // namespace cicadamux
