/** @file fleet_socket.cpp Fleet membership of a daemon: the UDP socket. */

#include "fleet/fleet_state.h"

#include "core/log_func.h"

#include <boost/asio/buffer.hpp>

#include <charconv>
#include <optional>

namespace cicadamux
{

using namespace detail;
using boost::asio::ip::udp;

namespace
{
/** The gossip socket cannot be bound. */
class bind_error : public error
{
public:
    using error::error;
};

std::optional<udp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    if (std::from_chars(address.data() + colon + 1, end, port).ptr != end || port == 0) {
        return std::nullopt;
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), failure);
    if (failure) {
        return std::nullopt;
    }
    return udp::endpoint(ip, port);
}

std::string formatEndpoint(const udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}
} // namespace

void fleet::state::bind()
{
    const auto endpoint = parseEndpoint(settings.peerAddress);
    boost::system::error_code failure = boost::asio::error::invalid_argument;
    if (endpoint) {
        socket.open(endpoint->protocol(), failure);
    }
    if (!failure) {
        socket.bind(*endpoint, failure);
    }
    if (!failure) {
        socket.non_blocking(true, failure);
    }
    if (failure) {
        throw bind_error("cannot bind UDP socket to " + settings.peerAddress + ": " + failure.message());
    }
}

void fleet::state::receive()
{
    const auto arrived = [self = shared_from_this()](const boost::system::error_code &failure, std::size_t size) {
        if (self->isStopped || failure == boost::asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            self->bytesReceived += size;
            self->withTable([&](member_table &members) {
                members.receive(formatEndpoint(self->sender), {self->buffer.data(), size}, steadyNow());
            });
        }
        self->receive();
    };
    socket.async_receive_from(boost::asio::buffer(buffer), sender, arrived);
}

void fleet::state::sendDatagram(const std::string &address, const std::string &bytes)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return;
    }
    boost::system::error_code failure; // A datagram that cannot be sent counts as lost.
    const std::size_t sent = socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, failure);
    bytesSent += failure ? 0 : sent;
}

void fleet::state::sendDeparture()
{
    effects last;
    {
        const std::lock_guard lock(tableMutex);
        if (table.self().state != member_state::leaving) {
            return;
        }
        table.updateSelf(
            [](member_record &record) {
                record.state = member_state::dead;
            },
            steadyNow());
        last = std::exchange(pending, {});
    }
    // A separate socket, since the main one may be in use on the strand and the io_context may be about to stop.
    boost::system::error_code failure;
    udp::socket departureSocket(strand.get_inner_executor());
    departureSocket.open(parseEndpoint(settings.peerAddress)->protocol(), failure);
    for (const auto &[address, bytes] : last.datagrams) {
        if (const auto endpoint = parseEndpoint(address)) {
            departureSocket.send_to(boost::asio::buffer(bytes), *endpoint, 0, failure);
        }
    }
}

} // namespace cicadamux
