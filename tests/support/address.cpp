/** @file address.cpp Loopback addresses for tests. */

#include "support/address_func.h"

#include "core/error_type.h"
#include "core/random_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <charconv>
#include <mutex>
#include <set>

namespace cicadamux::test
{

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace
{
constexpr std::uint16_t lowestPort = 12'000;
constexpr std::uint16_t portRange = 20'000; ///< Ends below 32768, where Linux's ephemeral ports begin.
constexpr int maxAttempts = 1'000;

/** @return Whether the port can be bound for both TCP and UDP. */
bool isFree(boost::asio::io_context &context, std::uint16_t port)
{
    boost::system::error_code failure;
    tcp::acceptor acceptor(context);
    udp::socket socket(context);
    const auto loopback = boost::asio::ip::address_v4::loopback();
    acceptor.open(tcp::v4(), failure);
    acceptor.bind({loopback, port}, failure);
    if (failure) {
        return false;
    }
    socket.open(udp::v4(), failure);
    socket.bind({loopback, port}, failure);
    return !failure;
}

/** Ports that freeAddress() has already returned in this process. */
std::set<std::uint16_t> &takenPorts()
{
    static std::set<std::uint16_t> taken;
    return taken;
}
} // namespace

tcp::endpoint parseEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code failure;
    if (colon != std::string_view::npos) {
        const auto text = address.substr(colon + 1);
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
        const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), failure);
        if (!failure && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()) {
            return {ip, port};
        }
    }
    throw error("not an IP:port address: " + std::string(address));
}

std::string formatEndpoint(const tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string freeAddress()
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    boost::asio::io_context context;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto port = static_cast<std::uint16_t>(lowestPort + threadRandom() % portRange);
        if (!takenPorts().contains(port) && isFree(context, port)) {
            takenPorts().insert(port);
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw error("no free loopback port found");
}

} // namespace cicadamux::test
