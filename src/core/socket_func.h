/** @file socket_func.h Options of TCP sockets, and a check of a listener. */

#pragma once

#include "core/clock_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace cicadamux
{

/**
 * Makes the kernel reset a connection whose peer no longer responds: unacknowledged data or unanswered
 * keep-alive probes end it after about `limit`. Also disables Nagle's algorithm.
 * @return Whether all socket options could be set.
 */
bool setPeerTimeout(boost::asio::ip::tcp::socket &socket, clock_ms limit);

/**
 * Connects to find out whether a process listens at an endpoint, and closes the connection.
 * @param limit Time for the system to answer.
 * @param done Called once, unless the context ends before: true only if the system has refused the connection.
 */
void checkRefused(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint, clock_ms limit, std::function<void(bool isRefused)> done);

} // namespace cicadamux
