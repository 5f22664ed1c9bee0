/** @file address_func.h Loopback addresses for tests. */

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace cicadamux::test
{

/**
 * Parses `IP:port`.
 * @throws cicadamux::error if the text has another form.
 */
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address);

/** @return The address as `IP:port`. */
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

/**
 * Finds a loopback port that is free for TCP and UDP. The port lies below the ephemeral range, so that no
 * outgoing connection can occupy it before the caller binds it.
 * @return `127.0.0.1:port`.
 */
std::string freeAddress();

} // namespace cicadamux::test
