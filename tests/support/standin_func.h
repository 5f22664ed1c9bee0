/** @file standin_func.h What the stand-ins' main functions share. */

#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace cicadamux::test
{

/** Prints `ready address=IP:port`, for which process::waitForLine() waits. */
void printReady(const std::string &address);

/** Calls `stop` once at SIGTERM or SIGINT, on the context's thread. */
void onStopSignal(boost::asio::io_context &context, std::function<void()> stop);

} // namespace cicadamux::test
