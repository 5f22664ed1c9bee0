/** @file http_session.cpp One connection of an HTTP listener. */

#include "http/http_session_base.h"

#include "http/http_fields_func.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

namespace cicadamux::detail
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{
constexpr clock_ms lingerTime{1'000}; ///< For the caller to close after the last response; then the connection is closed.
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

http_turn::http_turn(std::shared_ptr<http_session> session, bool keepsAlive)
    : m_session(std::move(session))
    , m_keepsAlive(keepsAlive)
{
}

void http_turn::respond(http_response response)
{
    boost::asio::dispatch(m_session->m_socket.get_executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
        if (self->m_response || self->m_isGone) {
            return;
        }
        self->m_gone = nullptr;
        self->m_answer.set(response.body.size());
        self->m_response = std::move(response);
        self->m_session->flush();
    });
}

void http_turn::onGone(std::function<void()> gone)
{
    boost::asio::dispatch(m_session->m_socket.get_executor(), [self = shared_from_this(), gone = std::move(gone)]() mutable {
        if (self->m_isGone) {
            gone();
        } else if (!self->m_response) {
            self->m_gone = std::move(gone);
        }
    });
}

void http_turn::allowNext()
{
    m_allowsNext = true;
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
        self->m_reading = read_state::ended;
        const auto turn = std::make_shared<http_turn>(self, false);
        turn->m_response = std::move(response);
        self->m_turns.push_back(turn);
        self->flush();
    });
}

void http_session::closeIfIdle()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_turns.empty() && self->m_reading == read_state::first_bytes && self->m_buffer.size() == 0) {
            self->close();
        }
    });
}

void http_session::readFirstBytes()
{
    m_reading = read_state::first_bytes;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_shared->limits.maxHeaderBytes));
    m_parser->body_limit(m_shared->limits.maxBodyBytes);
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    if (m_turns.empty()) {
        armTimer(m_shared->limits.idleTimeout);
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
    m_reading = read_state::header;
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
    const bool firstPart = m_reading != read_state::body;
    m_reading = read_state::body;
    if (firstPart && !m_body.take(static_cast<std::size_t>(m_parser->content_length().value_or(0)))) {
        refuseRequest(http_read_failure::too_much_held);
        return;
    }
    if (firstPart && m_shared->limits.bodyTimeout.count > 0) {
        armTimer(m_shared->limits.bodyTimeout);
    } else if (!m_expiry || m_turns.empty()) {
        armTimer(m_shared->limits.requestTimeout);
    }
    const bool expectsContinue = beast::iequals(m_parser->get()[http::field::expect], "100-continue");
    if (!expectsContinue || !m_turns.empty()) {
        readBody();
        return;
    }
    boost::asio::async_write(
        m_socket, boost::asio::buffer(continueResponse.data(), continueResponse.size()), [self = shared_from_this()](beast::error_code failure, std::size_t) {
            if (failure) {
                self->callerGone();
            } else if (!self->hasStoppedReading()) {
                self->readBody();
            }
        });
}

bool http_session::hasStoppedReading() const
{
    return m_closed || m_reading == read_state::ended;
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
        callerGone();
    }
}

void http_session::refuseRequest(http_read_failure failure)
{
    m_reading = read_state::ended;
    m_expiry.reset();
    const auto turn = std::make_shared<http_turn>(shared_from_this(), false);
    turn->m_response = m_shared->malformed(failure);
    m_turns.push_back(turn);
    flush();
}

void http_session::handleRequest()
{
    m_expiry.reset();
    auto message = m_parser->release();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = copyHeaders(message);
    request.body = std::move(message.body());
    request.remoteAddress = m_remoteAddress;
    const auto turn = std::make_shared<http_turn>(shared_from_this(), message.keep_alive());
    m_body.set(request.body.size()); // One in chunks says its length only now.
    turn->m_body = std::exchange(m_body, byte_hold(m_shared->budget));
    turn->m_answer = byte_hold(m_shared->budget);
    m_turns.push_back(turn);
    m_reading = read_state::paused;
    m_shared->handler(std::move(request), turn);
    continueReading();
}

/** Reads the next request if the rules allow it now. */
void http_session::continueReading()
{
    if (m_closed || m_reading != read_state::paused) {
        return;
    }
    const bool mayRead = m_turns.empty() || (m_turns.back()->m_allowsNext && m_turns.size() < m_shared->limits.maxPipelined);
    const bool isLast = !m_turns.empty() && !m_turns.back()->m_keepsAlive;
    if (mayRead && !isLast && !(m_shared->draining && !m_turns.empty())) {
        readFirstBytes();
    } else {
        watchForHangUp();
    }
}

void http_session::watchForHangUp()
{
    if (m_watches) {
        return;
    }
    m_watches = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code failure) {
        self->m_watches = false;
        if (!failure && self->m_reading == read_state::paused && !self->m_closed) {
            self->handleReadable();
        }
    });
}

void http_session::handleReadable()
{
    char byte = 0;
    beast::error_code failure;
    m_socket.non_blocking(true, failure);
    const std::size_t received = m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    if (failure == boost::asio::error::would_block) {
        watchForHangUp();
    } else if (received == 0) {
        callerGone();
    } // Else a pipelined request waits; it is read after an earlier one is answered.
}

void http_session::callerGone()
{
    const std::deque<std::shared_ptr<http_turn>> turns = std::exchange(m_turns, {});
    close();
    for (const auto &turn : turns) {
        turn->m_isGone = true;
        const auto gone = std::exchange(turn->m_gone, nullptr);
        if (gone) {
            gone();
        }
    }
}

/** Writes the first response if it is there. */
void http_session::flush()
{
    if (!m_writing && !m_closed && !m_turns.empty() && m_turns.front()->m_response) {
        write();
    }
}

void http_session::write()
{
    const std::shared_ptr<http_turn> turn = m_turns.front();
    http_response response = std::move(*turn->m_response);
    const bool isDraining = m_shared->draining && m_turns.size() == 1 && m_reading != read_state::header && m_reading != read_state::body;
    m_closesAfterWrite = !turn->m_keepsAlive || isDraining;
    if (m_closesAfterWrite) {
        m_reading = read_state::ended; // What comes meanwhile counts as not read, and its sender sends it again.
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
    m_writing = true;
    if (!m_expiry) {
        armTimer(m_shared->limits.writeTimeout);
    }
    http::async_write(m_socket, m_response, [self = shared_from_this()](beast::error_code failure, std::size_t) {
        self->handleWritten(failure);
    });
}

void http_session::handleWritten(beast::error_code failure)
{
    m_writing = false;
    if (m_closed) {
        return;
    }
    if (failure) {
        callerGone();
        return;
    }
    m_turns.pop_front();
    m_response = response_message();
    if (m_closesAfterWrite) {
        finishSending();
        return;
    }
    if (m_reading == read_state::paused) {
        m_expiry.reset();
        continueReading();
    } else if (m_reading == read_state::first_bytes && m_turns.empty()) {
        armTimer(m_shared->limits.idleTimeout);
    }
    flush();
}

/** Closes the sending side. Closing the whole connection with unread bytes would reset it, and the caller lose the response. */
void http_session::finishSending()
{
    m_reading = read_state::ended;
    m_lingers = true;
    beast::error_code ignored;
    m_socket.cancel(ignored);
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(lingerTime);
    discardRest();
}

void http_session::discardRest()
{
    m_socket.async_read_some(boost::asio::buffer(m_discarded), [self = shared_from_this()](beast::error_code failure, std::size_t) {
        if (failure) {
            self->close();
        } else {
            self->discardRest();
        }
    });
}

void http_session::armTimer(clock_ms span)
{
    const clock_ms expiry = steadyNow() + span;
    m_expiry = expiry;
    if (m_timerRuns && m_timer.expiry() <= boost::asio::steady_timer::clock_type::now() + toChrono(span)) {
        return;
    }
    m_timerRuns = true;
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
    m_timerRuns = false;
    if (m_closed || !m_expiry) {
        return;
    }
    const clock_ms now = steadyNow();
    if (now < *m_expiry) {
        armTimer(*m_expiry - now);
        return;
    }
    const bool isReading = m_reading == read_state::header || m_reading == read_state::body;
    if (isReading && !m_lingers) {
        refuseRequest(http_read_failure::too_slow);
    } else {
        callerGone();
    }
}

void http_session::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_expiry.reset();
    m_timer.cancel();
    beast::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

} // namespace cicadamux::detail
