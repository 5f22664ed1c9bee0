/** @file http_endpoint.cpp Conversion between address texts and Asio endpoints. */

#include "http/http_endpoint_func.h"

#include "http/http_server_base.h"

#include <charconv>

namespace cicadamux::detail
{

namespace
{
std::string_view withoutBrackets(std::string_view host)
{
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        return host.substr(1, host.size() - 2);
    }
    return host;
}
} // namespace

boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        throw address_error("address '" + std::string(address) + "' has no port");
    }
    std::uint16_t port = 0;
    const std::string_view digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        throw address_error("address '" + std::string(address) + "' has no valid port");
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(std::string(withoutBrackets(address.substr(0, colon))), failure);
    if (failure) {
        throw address_error("address '" + std::string(address) + "' is not an IP number");
    }
    return {ip, port};
}

bool isEndpoint(std::string_view address)
{
    try {
        parseEndpoint(address);
        return true;
    } catch (const address_error &) {
        return false;
    }
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? '[' + host + "]:" + port : host + ':' + port;
}

} // namespace cicadamux::detail
