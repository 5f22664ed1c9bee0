/** @file socket.cpp Options of TCP sockets. */

#include "core/socket_func.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace cicadamux
{

namespace
{
bool setOption(int descriptor, int level, int name, int value)
{
    return ::setsockopt(descriptor, level, name, &value, sizeof(value)) == 0;
}
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

} // namespace cicadamux
