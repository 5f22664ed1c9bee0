/** @file link_stream.cpp Bidirectional stream of link messages over one TCP connection. */

#include "link/link_stream_base.h"

#include "core/log_func.h"
#include "link/link_codec_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace cicadamux
{

namespace
{
constexpr std::size_t readSize = 65'536; ///< Greatest size of one read, bytes; most messages are far smaller.
constexpr std::size_t maxFramesPerWrite = 32;
} // namespace

link_stream::link_stream(boost::asio::ip::tcp::socket &&socket, std::size_t maxMessage, link_stream_hooks hooks)
    : m_socket(std::move(socket))
    , m_maxMessage(maxMessage)
    , m_hooks(std::move(hooks))
    , m_lastReceived(steadyNow())
{
}

void link_stream::start()
{
    boost::system::error_code ignored; // A failure shows at the first read.
    m_socket.non_blocking(true, ignored);
    read();
}

std::uint64_t link_stream::send(const link_message &message)
{
    ++m_lastQueued;
    if (m_closed || m_isFinishing) {
        return m_lastQueued;
    }
    m_queue.push_back(encodeFrame(message));
    m_backlog += m_queue.back().size();
    if (m_writing.empty()) {
        write();
    }
    return m_lastQueued;
}

void link_stream::finishSending()
{
    m_isFinishing = true;
    shutDownIfWritten();
}

/** Closing the socket with unread input would reset the connection, and the peer could lose what is still on its way. */
void link_stream::shutDownIfWritten()
{
    if (m_isFinishing && !m_closed && m_writing.empty() && m_queue.empty()) {
        boost::system::error_code ignored; // A failure shows at the next read.
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }
}

bool link_stream::mayHaveBeenSent(std::uint64_t number) const
{
    return number <= m_lastWritten;
}

std::size_t link_stream::backlog() const
{
    return m_backlog;
}

clock_ms link_stream::lastReceived() const
{
    return m_lastReceived;
}

void link_stream::close()
{
    m_closed = true;
    m_hooks = {};
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

/** Waits for data without allocating a buffer: a host has two streams per peer, most of them idle. */
void link_stream::read()
{
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code failure) {
        if (self->m_closed) {
            return;
        }
        if (failure) {
            self->fail(failure.message());
        } else {
            self->receive();
        }
    });
}

void link_stream::receive()
{
    thread_local std::array<char, readSize> bytes; // Shared by all streams of the thread; not used after this call.
    boost::system::error_code failure;
    const std::size_t size = m_socket.read_some(boost::asio::buffer(bytes), failure);
    if (failure && failure != boost::asio::error::would_block) {
        fail(failure.message());
        return;
    }
    try {
        consume({bytes.data(), size});
    } catch (const std::exception &failure) { // A message that can't be decoded or handled ends its link, not the process.
        logEvent(log_level::error, "link_message_failed", {{"problem", failure.what()}});
        fail(failure.what());
        return;
    }
    if (!m_closed) {
        read();
    }
}

/** Delivers the complete messages among the bytes, and keeps the start of an incomplete one. */
void link_stream::consume(std::string_view bytes)
{
    if (!bytes.empty()) {
        m_lastReceived = steadyNow();
    }
    if (m_partial.empty()) {
        m_partial = bytes.substr(deliverMessages(bytes));
        return;
    }
    m_partial += bytes;
    const std::size_t delivered = deliverMessages(m_partial);
    if (delivered > 0) {
        std::string(m_partial, delivered).swap(m_partial); // Releases the capacity of the largest message; an assignment would keep it.
    }
}

/** @return Number of bytes of the delivered messages. */
std::size_t link_stream::deliverMessages(std::string_view bytes)
{
    std::size_t delivered = 0;
    while (!m_closed && bytes.size() - delivered >= frameHeaderSize) {
        const std::size_t length = decodeFrameLength(bytes.substr(delivered, frameHeaderSize));
        if (length > m_maxMessage) {
            throw link_error("message of " + std::to_string(length) + " bytes exceeds the limit of " + std::to_string(m_maxMessage));
        }
        if (bytes.size() - delivered < frameHeaderSize + length) {
            break;
        }
        link_message message = decodeMessage(bytes.substr(delivered + frameHeaderSize, length));
        delivered += frameHeaderSize + length;
        m_hooks.received(std::move(message));
    }
    return delivered;
}

void link_stream::write()
{
    std::vector<boost::asio::const_buffer> buffers;
    while (!m_queue.empty() && m_writing.size() < maxFramesPerWrite) {
        m_writing.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        ++m_lastWritten;
    }
    std::size_t size = 0;
    for (const std::string &frame : m_writing) {
        buffers.emplace_back(frame.data(), frame.size());
        size += frame.size();
    }
    boost::asio::async_write(m_socket, buffers, [self = shared_from_this(), size](boost::system::error_code failure, std::size_t) {
        if (self->m_closed) {
            return;
        }
        if (failure) {
            self->fail(failure.message());
            return;
        }
        self->m_backlog -= size;
        self->m_writing.clear();
        if (!self->m_queue.empty()) {
            self->write();
        }
        self->shutDownIfWritten();
    });
}

void link_stream::fail(std::string_view why)
{
    const auto closed = std::move(m_hooks.closed);
    close();
    if (closed) {
        closed(why);
    }
}

} // namespace cicadamux
