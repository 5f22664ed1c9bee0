/** @file http_session.cpp One connection of an HTTP server. */

#include "http/http_session_base.h"

#include "core/event_loop_func.h"
#include "http/http_fields_func.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace cicadamux::detail
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{
constexpr clock_ms firstRequestTime{500}; ///< For the first request of a connection that was accepted just before the listener closed.
constexpr clock_ms lingerTime{1'000}; ///< How long a client may take to close the connection after the last response.
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

http_read_failure readFailureOf(beast::error_code failure)
{
    if (failure == http::error::body_limit) {
        return http_read_failure::body_too_large;
    }
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return http_read_failure::header_too_large;
    }
    return failure == http::error::partial_message ? http_read_failure::truncated : http_read_failure::malformed;
}

bool isProtocolFailure(beast::error_code failure)
{
    return failure.category() == http::make_error_code(http::error::bad_method).category() && failure != http::error::end_of_stream;
}
} // namespace

http_session_exchange::http_session_exchange(std::shared_ptr<http_session> session, bool keepsAlive)
    : m_session(std::move(session))
    , m_keepsAlive(keepsAlive)
{
}

void http_session_exchange::respond(http_response response)
{
    boost::asio::dispatch(m_session->m_socket.get_executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
        if (self->m_response || self->m_isDisconnected) {
            return;
        }
        self->m_onDisconnect = nullptr;
        self->m_answer.forceResize(response.body.size());
        self->m_response = std::move(response);
        self->m_session->writeNextResponse();
    });
}

void http_session_exchange::onDisconnect(std::function<void()> handler)
{
    boost::asio::dispatch(m_session->m_socket.get_executor(), [self = shared_from_this(), handler = std::move(handler)]() mutable {
        if (self->m_isDisconnected) {
            handler();
        } else if (!self->m_response) {
            self->m_onDisconnect = std::move(handler);
        }
    });
}

void http_session_exchange::allowNext()
{
    m_allowsNext = true;
}

bool http_session_exchange::holdsBackAnswers() const
{
    const auto &exchanges = m_session->m_exchanges;
    const auto own = std::ranges::find(exchanges, this, &std::shared_ptr<http_session_exchange>::get);
    return own != exchanges.end() && std::any_of(std::next(own), exchanges.end(), [](const auto &later) {
               return later->m_response.has_value();
           });
}

http_session::http_session(tcp::socket &&socket, std::shared_ptr<http_session_shared> shared)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_shared(std::move(shared))
    , m_body(m_shared->budget)
{
    m_shared->open.fetch_add(1);
    beast::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    const auto remote = m_socket.remote_endpoint(ignored);
    m_remoteAddress = remote.address().to_string();
}

http_session::~http_session()
{
    m_shared->open.fetch_sub(1);
}

void http_session::start()
{
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        self->readFirstBytes();
    });
}

void http_session::refuse(http_response response)
{
    boost::asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
        self->m_readState = read_state::ended;
        const auto exchange = std::make_shared<http_session_exchange>(self, false);
        exchange->m_response = std::move(response);
        self->m_exchanges.push_back(exchange);
        self->writeNextResponse();
    });
}

void http_session::closeIfIdle()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        const bool isIdle = self->m_exchanges.empty() && self->m_readState == read_state::first_bytes && self->m_buffer.size() == 0;
        if (!isIdle || self->pendingInput() == pending_input::bytes) {
            return; // The request is answered first; its response closes the connection.
        }
        if (self->m_hasRequest) {
            self->close();
        } else {
            self->armTimer(firstRequestTime);
        }
    });
}

std::size_t http_session::unwritten() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_exchanges, [](const auto &exchange) {
        return exchange->m_response.has_value();
    }));
}

void http_session::readFirstBytes()
{
    m_readState = read_state::first_bytes;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_shared->limits.maxHeaderBytes));
    m_parser->body_limit(m_shared->limits.maxBodyBytes);
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    if (m_exchanges.empty()) {
        armTimer(m_shared->draining ? firstRequestTime : m_shared->limits.idleTimeout);
    }
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        if (self->hasStoppedReading()) {
            return;
        }
        if (failure) {
            self->handleReadFailure(failure);
        } else if (self->m_parser->is_header_done()) {
            self->handleHeader();
        } else {
            self->readHeader();
        }
    });
}

void http_session::readHeader()
{
    m_readState = read_state::header;
    armTimer(m_shared->limits.requestTimeout);
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        if (self->hasStoppedReading()) {
            return;
        }
        if (failure) {
            self->handleReadFailure(failure);
        } else {
            self->handleHeader();
        }
    });
}

void http_session::handleHeader()
{
    if (m_parser->is_done()) {
        handleRequest();
        return;
    }
    const bool firstPart = m_readState != read_state::body;
    m_readState = read_state::body;
    if (firstPart && !m_body.tryResize(static_cast<std::size_t>(m_parser->content_length().value_or(0)))) {
        refuseRequest(http_read_failure::memory_exhausted);
        return;
    }
    if (firstPart && m_shared->limits.bodyTimeout.count > 0) {
        armTimer(m_shared->limits.bodyTimeout);
    } else if (!m_expiry || m_exchanges.empty()) {
        armTimer(m_shared->limits.requestTimeout);
    }
    const bool expectsContinue = beast::iequals(m_parser->get()[http::field::expect], "100-continue");
    if (!expectsContinue || !m_exchanges.empty()) {
        readBody();
        return;
    }
    boost::asio::async_write(
        m_socket, boost::asio::buffer(continueResponse.data(), continueResponse.size()), [self = shared_from_this()](beast::error_code failure, std::size_t) {
            if (failure) {
                self->handleDisconnect();
            } else if (!self->hasStoppedReading()) {
                self->readBody();
            }
        });
}

bool http_session::hasStoppedReading() const
{
    return m_isClosed || m_readState == read_state::ended;
}

void http_session::readBody()
{
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        if (self->hasStoppedReading()) {
            return;
        }
        if (failure) {
            self->handleReadFailure(failure);
        } else {
            self->handleRequest();
        }
    });
}

void http_session::handleReadFailure(beast::error_code failure)
{
    if (isProtocolFailure(failure)) {
        refuseRequest(readFailureOf(failure));
    } else {
        handleDisconnect();
    }
}

void http_session::refuseRequest(http_read_failure failure)
{
    m_readState = read_state::ended;
    m_expiry.reset();
    const auto exchange = std::make_shared<http_session_exchange>(shared_from_this(), false);
    exchange->m_response = m_shared->refusalBuilder(failure);
    m_exchanges.push_back(exchange);
    writeNextResponse();
}

void http_session::handleRequest()
{
    m_expiry.reset();
    m_hasRequest = true;
    if (m_buffer.size() == 0 && pendingInput() == pending_input::end) {
        handleDisconnect(); // The caller has given up before its request was read.
        return;
    }
    auto message = m_parser->release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copyHeaders(message);
    request.body = std::move(message.body());
    request.remoteAddress = m_remoteAddress;
    const auto exchange = std::make_shared<http_session_exchange>(shared_from_this(), message.keep_alive());
    m_body.forceResize(request.body.size()); // The length of a chunked body is known only now.
    exchange->m_body = std::exchange(m_body, byte_reservation(m_shared->budget));
    exchange->m_answer = byte_reservation(m_shared->budget);
    m_exchanges.push_back(exchange);
    m_readState = read_state::paused;
    try {
        m_shared->handler(std::move(request), exchange);
    } catch (const std::exception &failure) {
        logHandlerFailure(failure.what());
        exchange->respond(m_shared->refusalBuilder(http_read_failure::handler_failed));
    }
    continueReading();
}

/** Reads the next request unless pipelining limits, `Connection: close` or draining forbid it. */
void http_session::continueReading()
{
    if (m_isClosed || m_readState != read_state::paused) {
        return;
    }
    const bool mayRead = m_exchanges.empty() || (m_exchanges.back()->m_allowsNext && m_exchanges.size() < m_shared->limits.maxPipelined);
    const bool isLast = !m_exchanges.empty() && !m_exchanges.back()->m_keepsAlive;
    if (mayRead && !isLast && !(m_shared->draining && !m_exchanges.empty())) {
        readFirstBytes();
    } else {
        watchForDisconnect();
    }
}

void http_session::watchForDisconnect()
{
    if (m_isWatching) {
        return;
    }
    m_isWatching = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code failure) {
        self->m_isWatching = false;
        if (!failure && self->m_readState == read_state::paused && !self->m_isClosed) {
            self->handleReadable();
        }
    });
}

/** Looks at the socket's receive buffer without reading from it. */
http_session::pending_input http_session::pendingInput()
{
    char byte = 0;
    beast::error_code failure;
    m_socket.non_blocking(true, failure);
    const std::size_t received = m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    if (failure == boost::asio::error::would_block) {
        return pending_input::none;
    }
    return received == 0 ? pending_input::end : pending_input::bytes;
}

void http_session::handleReadable()
{
    const pending_input pending = pendingInput();
    if (pending == pending_input::none) {
        watchForDisconnect();
    } else if (pending == pending_input::end) {
        handleDisconnect();
    } // Else a pipelined request has arrived; it is read once an earlier one is answered.
}

void http_session::handleDisconnect()
{
    const std::deque<std::shared_ptr<http_session_exchange>> exchanges = std::exchange(m_exchanges, {});
    close();
    for (const auto &exchange : exchanges) {
        exchange->m_isDisconnected = true;
        const auto onDisconnect = std::exchange(exchange->m_onDisconnect, nullptr);
        if (onDisconnect) {
            onDisconnect();
        }
    }
}

/** Writes the response to the oldest request if it is available. */
void http_session::writeNextResponse()
{
    if (!m_isWriting && !m_isClosed && !m_exchanges.empty() && m_exchanges.front()->m_response) {
        startWrite();
    }
}

void http_session::startWrite()
{
    const std::shared_ptr<http_session_exchange> exchange = m_exchanges.front();
    http_response response = std::move(*exchange->m_response);
    const bool isDraining = m_shared->draining && m_exchanges.size() == 1 && m_readState != read_state::header && m_readState != read_state::body;
    m_closesAfterWrite = !exchange->m_keepsAlive || isDraining;
    if (m_closesAfterWrite) {
        m_readState = read_state::ended; // A request that arrives from now on is never read, so the client may safely resend it.
    }
    m_response = response_message();
    m_response.result(response.status);
    for (const http_field &field : response.headers) {
        if (!isHopByHop(field.name)) {
            m_response.insert(field.name, field.value);
        }
    }
    m_response.body() = std::move(response.body);
    m_response.keep_alive(!m_closesAfterWrite);
    m_response.prepare_payload();
    m_isWriting = true;
    if (!m_expiry) {
        armTimer(m_shared->limits.writeTimeout);
    }
    http::async_write(m_socket, m_response, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        self->handleWritten(failure);
    });
}

void http_session::handleWritten(beast::error_code failure)
{
    m_isWriting = false;
    if (m_isClosed) {
        return;
    }
    if (failure) {
        handleDisconnect();
        return;
    }
    m_exchanges.pop_front();
    m_response = response_message();
    if (m_closesAfterWrite) {
        finishSending();
        return;
    }
    if (m_readState == read_state::paused) {
        m_expiry.reset();
        continueReading();
    } else if (m_readState == read_state::first_bytes && m_exchanges.empty()) {
        armTimer(m_shared->limits.idleTimeout);
    }
    writeNextResponse();
}

/** Shuts down the sending side. Closing the socket with unread input would reset the connection, and the client could lose the response. */
void http_session::finishSending()
{
    m_readState = read_state::ended;
    m_isLingering = true;
    beast::error_code ignored;
    m_socket.cancel(ignored);
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(lingerTime);
    discardInput();
}

void http_session::discardInput()
{
    m_socket.async_read_some(boost::asio::buffer(m_discarded), [self = shared_from_this()](beast::error_code failure, std::size_t) {
        if (failure) {
            self->close();
        } else {
            self->discardInput();
        }
    });
}

void http_session::armTimer(clock_ms span)
{
    const clock_ms expiry = steadyNow() + span;
    m_expiry = expiry;
    if (m_isTimerRunning && m_timer.expiry() <= boost::asio::steady_timer::clock_type::now() + toChrono(span)) {
        return;
    }
    m_isTimerRunning = true;
    m_timer.expires_after(toChrono(span));
    m_timer.async_wait([self = weak_from_this()](beast::error_code cancelled) {
        const auto session = self.lock();
        if (!cancelled && session) {
            session->handleTimer();
        }
    });
}

void http_session::handleTimer()
{
    m_isTimerRunning = false;
    if (m_isClosed || !m_expiry) {
        return;
    }
    const clock_ms now = steadyNow();
    if (now < *m_expiry) {
        armTimer(*m_expiry - now);
        return;
    }
    const bool isReading = m_readState == read_state::header || m_readState == read_state::body;
    if (isReading && !m_isLingering) {
        refuseRequest(http_read_failure::too_slow);
    } else {
        handleDisconnect();
    }
}

void http_session::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_expiry.reset();
    m_timer.cancel();
    beast::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

} // namespace cicadamux::detail
