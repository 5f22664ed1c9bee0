/** @file event_loop.cpp Runs an Asio event loop that survives exceptions of its handlers. */

#include "core/event_loop_func.h"

#include "core/clock_type.h"
#include "core/log_func.h"

#include <atomic>
#include <exception>

namespace cicadamux
{

namespace
{
constexpr clock_ms failureLogInterval{100}; ///< Minimum time between log lines, so that a handler that always fails doesn't fill the log.
} // namespace

void runEventLoop(boost::asio::io_context &context, const handler_failure_hook &failed)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception &failure) {
            failed(failure.what());
        }
    }
}

void logHandlerFailure(std::string_view what)
{
    static std::atomic<std::int64_t> nextLogAt{0};
    static std::atomic<std::uint64_t> failures{0};
    const std::uint64_t count = ++failures;
    const clock_ms now = steadyNow();
    std::int64_t due = nextLogAt.load();
    if (now.count >= due && nextLogAt.compare_exchange_strong(due, (now + failureLogInterval).count)) {
        logEvent(log_level::error, "handler_failed", {{"problem", what}, {"failures", count}});
    }
}

} // namespace cicadamux
