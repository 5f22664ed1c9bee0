/** @file socket_func.h Options of TCP sockets. */

#pragma once

#include "core/clock_type.h"

#include <boost/asio/ip/tcp.hpp>

namespace cicadamux
{

/**
 * Makes the kernel reset a connection whose peer no longer responds: unacknowledged data or unanswered
 * keep-alive probes end it after about `limit`. Also disables Nagle's algorithm.
 * @return Whether all socket options could be set.
 */
bool setPeerTimeout(boost::asio::ip::tcp::socket &socket, clock_ms limit);

} // namespace cicadamux
