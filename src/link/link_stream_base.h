/** @file link_stream_base.h One TCP connection that carries link messages both ways. */

#pragma once

#include "link/link_type.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadamux
{

/** What a stream tells its owner; nothing is called after `closed`. */
struct link_stream_hooks {
    std::function<void(link_message message)> received;
    std::function<void(std::string_view why)> closed;
};

/** Used by one thread. Messages leave in order; many small ones share a write. */
class link_stream : public std::enable_shared_from_this<link_stream>
{
public:
    /** @param maxMessage Greatest message that is accepted, bytes. */
    link_stream(boost::asio::ip::tcp::socket &&socket, std::size_t maxMessage, link_stream_hooks hooks);

    /** Begins to read. */
    void start();

    /** Queues a message. @return Its number; numbers rise by one. */
    std::uint64_t send(const link_message &message);

    /** @return Whether a byte of the message may have left this process. */
    bool mayHaveLeft(std::uint64_t number) const;

    /** @return Bytes that wait to be written. */
    std::size_t backlog() const;

    /** @return When bytes last came. */
    clock_ms lastHeard() const;

    /** Closes without calling a hook. */
    void close();

private:
    void read();
    void receive();
    void take(std::string_view bytes);
    std::size_t takeMessages(std::string_view bytes);
    void write();
    void fail(std::string_view why);

    boost::asio::ip::tcp::socket m_socket;
    std::size_t m_maxMessage;
    link_stream_hooks m_hooks;
    std::string m_partial; ///< Beginning of a message whose rest hasn't come.
    std::deque<std::string> m_queue; ///< Frames that aren't being written.
    std::vector<std::string> m_writing;
    std::size_t m_backlog = 0;
    std::uint64_t m_sent = 0; ///< Number of the last queued message.
    std::uint64_t m_left = 0; ///< Number of the last message given to the system.
    clock_ms m_lastHeard;
    bool m_closed = false;
};

} // namespace cicadamux
