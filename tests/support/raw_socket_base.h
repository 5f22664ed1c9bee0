/** @file raw_socket_base.h Blocking sockets for tests that send malformed or partial messages. */

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace cicadamux::test
{

/** A connection to a loopback address; each receive times out after a few seconds. */
class raw_socket
{
public:
    /** @param address `127.0.0.1:port`. */
    explicit raw_socket(std::string_view address);
    explicit raw_socket(int descriptor);
    ~raw_socket();
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    /** Sends all bytes. @return False if the peer has closed the connection. */
    bool send(std::string_view bytes);

    /** Shuts down the sending direction. */
    void finishSending();

    /** Closes the connection with a reset, which drops what the peer has sent. Nothing but the destructor may follow. */
    void reset();

    /** @return All bytes until the peer closes the connection or a receive times out. */
    std::string receiveAll();

    /** @return The bytes received up to at least the marker, or until the peer closes the connection or a receive times out. */
    std::string receiveUntil(std::string_view marker);

private:
    bool receiveSome(std::string &bytes);

    int m_descriptor;
};

/** Accepts connections on a loopback port, a free one unless it is given, and passes them to a function, one after the other. */
class raw_server
{
public:
    explicit raw_server(std::function<void(raw_socket &)> serve);

    /** @param address `127.0.0.1:port` to listen on. */
    raw_server(const std::string &address, std::function<void(raw_socket &)> serve);
    ~raw_server();
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    /** @return `127.0.0.1:port`. */
    const std::string &address() const;

private:
    std::string m_address; ///< With port 0 until m_descriptor is initialised, so it must be declared before it.
    int m_descriptor;
    std::thread m_thread;
};

/** @return A loopback address that nothing listens on. */
std::string unusedAddress();

} // namespace cicadamux::test
