/** @file link_stream.cpp One TCP connection that carries link messages both ways. */

#include "link/link_stream_base.h"

#include "link/link_codec_func.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace cicadamux
{

namespace
{
constexpr std::size_t readSize = 65'536; ///< Bytes of one read; most messages are far smaller.
constexpr std::size_t maxFramesAtOnce = 32; ///< Of one write.
} // namespace

link_stream::link_stream(boost::asio::ip::tcp::socket &&socket, std::size_t maxMessage, link_stream_hooks hooks)
    : m_socket(std::move(socket))
    , m_maxMessage(maxMessage)
    , m_hooks(std::move(hooks))
    , m_lastHeard(steadyNow())
{
}

void link_stream::start()
{
    boost::system::error_code ignored; // A socket that can't be switched fails at its first read.
    m_socket.non_blocking(true, ignored);
    read();
}

std::uint64_t link_stream::send(const link_message &message)
{
    ++m_sent;
    if (m_closed) {
        return m_sent;
    }
    m_queue.push_back(encodeFrame(message));
    m_backlog += m_queue.back().size();
    if (m_writing.empty()) {
        write();
    }
    return m_sent;
}

bool link_stream::mayHaveLeft(std::uint64_t number) const
{
    return number <= m_left;
}

std::size_t link_stream::backlog() const
{
    return m_backlog;
}

clock_ms link_stream::lastHeard() const
{
    return m_lastHeard;
}

void link_stream::close()
{
    m_closed = true;
    m_hooks = {};
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

/** Waits without a buffer: a host has two streams for each other one, and most of them are idle. */
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
    thread_local std::array<char, readSize> bytes; // Nothing of it is needed after this call.
    boost::system::error_code failure;
    const std::size_t size = m_socket.read_some(boost::asio::buffer(bytes), failure);
    if (failure && failure != boost::asio::error::would_block) {
        fail(failure.message());
        return;
    }
    try {
        take({bytes.data(), size});
    } catch (const link_error &broken) {
        fail(broken.what());
        return;
    }
    if (!m_closed) {
        read();
    }
}

/** Hands over the whole messages among the bytes, and keeps the beginning of the next one. */
void link_stream::take(std::string_view bytes)
{
    if (!bytes.empty()) {
        m_lastHeard = steadyNow();
    }
    if (m_partial.empty()) {
        m_partial = bytes.substr(takeMessages(bytes));
        return;
    }
    m_partial += bytes;
    const std::size_t taken = takeMessages(m_partial);
    if (taken > 0) {
        std::string(m_partial, taken).swap(m_partial); // An assignment would keep the memory of the greatest message.
    }
}

/** @return Bytes of the messages that were handed over. */
std::size_t link_stream::takeMessages(std::string_view bytes)
{
    std::size_t taken = 0;
    while (!m_closed && bytes.size() - taken >= frameHeaderSize) {
        const std::size_t length = decodeFrameLength(bytes.substr(taken, frameHeaderSize));
        if (length > m_maxMessage) {
            throw link_error("a message of " + std::to_string(length) + " bytes is too long");
        }
        if (bytes.size() - taken < frameHeaderSize + length) {
            break;
        }
        link_message message = decodeMessage(bytes.substr(taken + frameHeaderSize, length));
        taken += frameHeaderSize + length;
        m_hooks.received(std::move(message));
    }
    return taken;
}

void link_stream::write()
{
    std::vector<boost::asio::const_buffer> buffers;
    while (!m_queue.empty() && m_writing.size() < maxFramesAtOnce) {
        m_writing.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        ++m_left;
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
