/** @file link_stream_base.h Bidirectional stream of link messages over one TCP connection. */

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

/** Callbacks of a stream; none is called after `closed`. */
struct link_stream_hooks {
    std::function<void(link_message message)> received;
    std::function<void(std::string_view why)> closed;
};

/** Not thread-safe. Messages are sent in order; small ones are combined into one write. */
class link_stream : public std::enable_shared_from_this<link_stream>
{
public:
    /** @param maxMessage Greatest message that is accepted, bytes. */
    link_stream(boost::asio::ip::tcp::socket &&socket, std::size_t maxMessage, link_stream_hooks hooks);

    /** Starts to read. */
    void start();

    /** Queues a message. @return Its number on this stream; messages are numbered from 1. */
    std::uint64_t send(const link_message &message);

    /** Ends the sending direction once all queued messages are written. Later messages are dropped; reading goes on. */
    void finishSending();

    /** @return Whether any part of the message may have been handed to the system. */
    bool mayHaveBeenSent(std::uint64_t number) const;

    /** @return Number of bytes waiting to be written. */
    std::size_t backlog() const;

    /** @return When data was last received. */
    clock_ms lastReceived() const;

    /** Closes the connection without calling a hook. */
    void close();

private:
    void read();
    void receive();
    void consume(std::string_view bytes);
    std::size_t deliverMessages(std::string_view bytes);
    void write();
    void shutDownIfWritten();
    void fail(std::string_view why);

    boost::asio::ip::tcp::socket m_socket;
    std::size_t m_maxMessage;
    link_stream_hooks m_hooks;
    std::string m_partial; ///< Start of an incomplete message.
    std::deque<std::string> m_queue; ///< Frames to be written.
    std::vector<std::string> m_writing; ///< Frames of the current write.
    std::size_t m_backlog = 0;
    std::uint64_t m_lastQueued = 0; ///< Number of the last message queued.
    std::uint64_t m_lastWritten = 0; ///< Number of the last message whose write was started.
    clock_ms m_lastReceived;
    bool m_isFinishing = false; ///< No message is queued any more.
    bool m_closed = false;
};

} // namespace cicadamux
