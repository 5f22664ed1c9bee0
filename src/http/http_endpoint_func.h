/** @file http_endpoint_func.h Conversion between address texts and Asio endpoints. */

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace cicadamux::detail
{

/**
 * Parses `IP:port` or `[IP]:port`.
 * @throws address_error
 */
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address);

/** @return Whether parseEndpoint() can parse it. */
bool isEndpoint(std::string_view address);

/** Formats an endpoint so that parseEndpoint() can parse it. */
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace cicadamux::detail
