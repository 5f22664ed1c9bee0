/** @file raw_socket.cpp Blocking sockets for tests that send malformed or partial messages. */

#include "support/raw_socket_base.h"

#include "http/http_endpoint_func.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace cicadamux::test
{

namespace
{
constexpr int receiveTimeout = 5; // Seconds.
constexpr std::string_view anyLoopbackPort = "127.0.0.1:0";

int makeSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::runtime_error("socket() failed");
    }
    const timeval timeout{receiveTimeout, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    return descriptor;
}

/** Binds a socket; port 0 stands for a free one and is replaced by it. */
int bindAddress(std::string &address)
{
    const int descriptor = makeSocket();
    const int reuse = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const auto wanted = detail::parseEndpoint(address);
    if (::bind(descriptor, wanted.data(), static_cast<socklen_t>(wanted.size())) != 0) {
        ::close(descriptor);
        throw std::runtime_error("bind() failed");
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
    address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    return descriptor;
}
} // namespace

raw_socket::raw_socket(std::string_view address)
    : m_descriptor(makeSocket())
{
    const auto endpoint = detail::parseEndpoint(address);
    if (::connect(m_descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0) {
        ::close(m_descriptor);
        throw std::runtime_error("connect() failed");
    }
}

raw_socket::raw_socket(int descriptor)
    : m_descriptor(descriptor)
{
    const timeval timeout{receiveTimeout, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

raw_socket::~raw_socket()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

bool raw_socket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void raw_socket::finishSending()
{
    ::shutdown(m_descriptor, SHUT_WR);
}

void raw_socket::reset()
{
    const linger abort{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(m_descriptor);
    m_descriptor = -1;
}

bool raw_socket::receiveSome(std::string &bytes)
{
    std::array<char, 4096> buffer{};
    const ssize_t received = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(received));
    return true;
}

std::string raw_socket::receiveAll()
{
    std::string bytes;
    while (receiveSome(bytes)) { }
    return bytes;
}

std::string raw_socket::receiveUntil(std::string_view marker)
{
    std::string bytes;
    while (bytes.find(marker) == std::string::npos && receiveSome(bytes)) { }
    return bytes;
}

raw_server::raw_server(std::function<void(raw_socket &)> serve)
    : raw_server(std::string(anyLoopbackPort), std::move(serve))
{
}

raw_server::raw_server(const std::string &address, std::function<void(raw_socket &)> serve)
    : m_address(address)
    , m_descriptor(bindAddress(m_address))
{
    constexpr int backlog = 16;
    ::listen(m_descriptor, backlog);
    m_thread = std::thread([this, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept(m_descriptor, nullptr, nullptr);
            if (accepted < 0) {
                if (errno == EAGAIN) {
                    continue;
                }
                return;
            }
            raw_socket connection(accepted);
            serve(connection);
        }
    });
}

raw_server::~raw_server()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_thread.join();
    ::close(m_descriptor);
}

const std::string &raw_server::address() const
{
    return m_address;
}

std::string unusedAddress()
{
    std::string address(anyLoopbackPort);
    ::close(bindAddress(address));
    return address;
}

} // namespace cicadamux::test
