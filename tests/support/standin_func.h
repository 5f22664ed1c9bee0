/** @file standin_func.h Functions that the stand-ins' programs share. */

#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace cicadamux::test
{

/** Prints `ready address=IP:port`, which tests wait for with process::waitForLine(). */
void printReady(const std::string &address);

/** Calls `stop` on the first SIGTERM or SIGINT, on the context's thread. */
void onStopSignal(boost::asio::io_context &context, std::function<void()> stop);

} // namespace cicadamux::test
