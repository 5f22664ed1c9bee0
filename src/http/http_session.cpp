/** @file http_session.cpp One connection of an HTTP listener. */

#include "http/http_session_base.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace cicadamux::detail
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{
std::chrono::milliseconds toChrono(clock_ms span)
{
    return std::chrono::milliseconds(span.count);
}

std::vector<http_field> copyHeaders(const http::fields &fields)
{
    std::vector<http_field> headers;
    for (const auto &field : fields) {
        if (field.name() == http::field::content_length || field.name() == http::field::transfer_encoding) {
            continue;
        }
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

outcome_reason reasonOfReadFailure(beast::error_code failure)
{
    if (failure == http::error::body_limit || failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return outcome_reason::too_large;
    }
    return outcome_reason::bad_request;
}

bool isProtocolFailure(beast::error_code failure)
{
    return failure.category() == http::make_error_code(http::error::bad_method).category();
}
} // namespace

http_session::http_session(tcp::socket &&socket, std::shared_ptr<http_session_shared> shared)
    : m_stream(std::move(socket))
    , m_requestTimer(m_stream.get_executor())
    , m_shared(std::move(shared))
{
    m_shared->open.fetch_add(1);
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    const auto remote = m_stream.socket().remote_endpoint(ignored);
    m_remoteAddress = remote.address().to_string();
}

http_session::~http_session()
{
    m_shared->open.fetch_sub(1);
}

void http_session::start()
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
        self->readFirstBytes();
    });
}

void http_session::refuse(http_response response)
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
        self->write(std::move(response), false);
    });
}

void http_session::closeIfIdle()
{
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == phase::idle) {
            self->close();
        }
    });
}

void http_session::readFirstBytes()
{
    m_phase = phase::idle;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_shared->limits.maxHeaderBytes));
    m_parser->body_limit(m_shared->limits.maxBodyBytes);
    m_stream.expires_after(toChrono(m_shared->limits.idleTimeout));
    http::async_read_some(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        if (failure) {
            self->handleReadFailure(failure);
            return;
        }
        self->readRest();
    });
}

void http_session::readRest()
{
    if (m_parser->is_done()) {
        handleRequest();
        return;
    }
    m_phase = phase::reading;
    m_stream.expires_never();
    startRequestTimer();
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        self->m_requestTimer.cancel();
        if (failure) {
            self->handleReadFailure(failure);
            return;
        }
        self->handleRequest();
    });
}

void http_session::startRequestTimer()
{
    m_requestTimer.expires_after(toChrono(m_shared->limits.requestTimeout));
    m_requestTimer.async_wait([self = shared_from_this()](beast::error_code cancelled) {
        if (!cancelled && self->m_phase == phase::reading) {
            self->m_stream.socket().cancel();
        }
    });
}

void http_session::handleReadFailure(beast::error_code failure)
{
    const bool tooSlow = failure == boost::asio::error::operation_aborted && m_phase == phase::reading;
    const bool malformed = isProtocolFailure(failure) && failure != http::error::end_of_stream;
    if (!malformed && !tooSlow) {
        close();
        return;
    }
    write(m_shared->malformed(reasonOfReadFailure(failure)), false);
}

void http_session::handleRequest()
{
    m_phase = phase::handling;
    m_stream.expires_never();
    auto message = m_parser->release();
    m_requestKeepsAlive = message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copyHeaders(message);
    request.body = std::move(message.body());
    request.remoteAddress = m_remoteAddress;
    watchForHangUp();
    m_shared->handler(std::move(request), shared_from_this());
}

void http_session::watchForHangUp()
{
    m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code failure) {
        if (!failure && self->m_phase == phase::handling) {
            self->handleReadable();
        }
    });
}

void http_session::handleReadable()
{
    char byte = 0;
    beast::error_code failure;
    m_stream.socket().non_blocking(true, failure);
    const std::size_t received = m_stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    if (failure == boost::asio::error::would_block) {
        watchForHangUp();
        return;
    }
    if (received > 0) {
        return; // A pipelined request: it is read after this one is answered.
    }
    const auto gone = std::exchange(m_gone, nullptr);
    close();
    if (gone) {
        gone();
    }
}

void http_session::onGone(std::function<void()> gone)
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), gone = std::move(gone)]() mutable {
        if (self->m_phase == phase::handling) {
            self->m_gone = std::move(gone);
        } else if (self->m_phase == phase::closed) {
            gone();
        }
    });
}

void http_session::respond(http_response response)
{
    boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
        if (self->m_phase != phase::handling) {
            return;
        }
        self->m_gone = nullptr;
        self->m_stream.socket().cancel();
        self->write(std::move(response), self->m_requestKeepsAlive && !self->m_shared->draining);
    });
}

void http_session::write(http_response response, bool keepAlive)
{
    m_phase = phase::writing;
    m_response = response_message();
    m_response.result(response.status);
    for (const http_field &field : response.headers) {
        if (!isHopByHop(field.name)) {
            m_response.insert(field.name, field.value);
        }
    }
    m_response.body() = std::move(response.body);
    m_response.keep_alive(keepAlive);
    m_response.prepare_payload();
    m_stream.expires_after(toChrono(m_shared->limits.requestTimeout));
    http::async_write(m_stream, m_response, [self = shared_from_this(), keepAlive](beast::error_code failure, std::size_t) {
        self->handleWritten(failure, keepAlive);
    });
}

void http_session::handleWritten(beast::error_code failure, bool keepAlive)
{
    if (failure || !keepAlive) {
        close();
        return;
    }
    readFirstBytes();
}

void http_session::close()
{
    m_phase = phase::closed;
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

} // namespace cicadamux::detail
