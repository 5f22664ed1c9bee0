/** @file socket.cpp Options of TCP sockets, and a check of a listener. */

#include "core/socket_func.h"

#include <boost/asio/steady_timer.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace cicadamux
{

namespace
{
bool setOption(int descriptor, int level, int name, int value)
{
    return ::setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}

/** A connection attempt and its time limit. */
struct listener_check {
    explicit listener_check(boost::asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
};
} // namespace

bool setPeerTimeout(boost::asio::ip::tcp::socket &socket, clock_ms limit)
{
    constexpr int probeCount = 2; // Sent one second apart, after idleSeconds without traffic.
    constexpr std::int64_t msPerSecond = 1'000;
    const int descriptor = socket.native_handle();
    const int idleSeconds = static_cast<int>(std::max<std::int64_t>(1, limit.count / msPerSecond - probeCount));
    const bool noDelay = setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    const bool keepAlive = setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1) && setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, idleSeconds)
        && setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1) && setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    const bool userTimeout = setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count));
    return noDelay && keepAlive && userTimeout;
}

void checkRefused(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint, clock_ms limit, std::function<void(bool isRefused)> done)
{
    const auto check = std::make_shared<listener_check>(context);
    check->timer.expires_after(std::chrono::milliseconds(limit.count));
    check->timer.async_wait([check](boost::system::error_code cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            check->socket.close(ignored);
        }
    });
    check->socket.async_connect(endpoint, [check, done = std::move(done)](boost::system::error_code failure) {
        check->timer.cancel();
        done(failure == boost::asio::error::connection_refused);
    });
}

} // namespace cicadamux
