/** @file event_loop_func.h Runs an Asio event loop that survives exceptions of its handlers. */

#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace cicadamux
{

/** Called with the text of an exception that left a handler. */
using handler_failure_hook = std::function<void(std::string_view what)>;

/**
 * Runs the context until it is stopped or out of work. An exception that leaves a handler ends that handler alone:
 * the hook is called and the loop goes on. Several threads may run the same context.
 */
void runEventLoop(boost::asio::io_context &context, const handler_failure_hook &failed);

/** Logs a handler's failure, at most once in a tenth of a second. Thread-safe. */
void logHandlerFailure(std::string_view what);

} // namespace cicadamux
