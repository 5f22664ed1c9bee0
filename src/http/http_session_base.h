/** @file http_session_base.h One connection of an HTTP listener. */

#pragma once

#include "core/byte_budget_base.h"
#include "http/http_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cicadamux::detail
{

/** What the sessions of one listener share. */
struct http_session_shared {
    http_limits limits;
    http_handler handler;
    http_malformed malformed;
    std::shared_ptr<byte_budget> budget; ///< For bodies and responses; null: no bound.
    std::atomic<bool> draining{false}; ///< Close after the next answer.
    std::atomic<std::uint32_t> open{0}; ///< Connections now open.
};

class http_turn;

/** Reads requests, hands them over, and writes their responses in the order of the requests. */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket &&socket, std::shared_ptr<http_session_shared> shared);
    ~http_session();
    http_session(const http_session &) = delete;
    http_session &operator=(const http_session &) = delete;

    /** Begins to read. */
    void start();

    /** Writes a response without reading a request, and closes; for connections over the limit. */
    void refuse(http_response response);

    /** Closes the connection if it is between two requests. */
    void closeIfIdle();

private:
    friend class http_turn;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response_message = boost::beast::http::response<boost::beast::http::string_body>;

    /** What the reading side does. */
    enum class read_state : std::uint8_t {
        first_bytes, ///< Waits for a request.
        header, ///< A part of a header is there.
        body,
        paused, ///< Until an earlier request is answered; only watches for the caller's leaving.
        ended ///< Nothing more is read.
    };

    void readFirstBytes();
    void readHeader();
    void handleHeader();
    void readBody();
    bool hasStoppedReading() const;
    void handleReadFailure(boost::beast::error_code failure);
    void refuseRequest(http_read_failure failure);
    void handleRequest();
    void continueReading();
    void watchForHangUp();
    void handleReadable();
    void callerGone();
    void flush();
    void write();
    void handleWritten(boost::beast::error_code failure);
    void finishSending();
    void discardRest();
    void armTimer(clock_ms span);
    void handleTimer();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< Fires once a while; handleTimer() looks at m_expiry.
    std::optional<clock_ms> m_expiry; ///< When the state of reading, or else of writing, has lasted too long.
    bool m_timerRuns = false;
    std::shared_ptr<http_session_shared> m_shared;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    byte_hold m_body; ///< Of the request that is being read.
    std::deque<std::shared_ptr<http_turn>> m_turns; ///< Requests that aren't answered, the first one first.
    response_message m_response; ///< Being written.
    std::array<char, 512> m_discarded{};
    std::string m_remoteAddress;
    read_state m_reading = read_state::first_bytes;
    bool m_watches = false; ///< watchForHangUp() waits.
    bool m_writing = false;
    bool m_closesAfterWrite = false;
    bool m_lingers = false; ///< The last response is out; the rest of what the caller sends is dropped.
    bool m_closed = false;
};

/** One request of a session until it is answered. */
class http_turn : public http_exchange, public std::enable_shared_from_this<http_turn>
{
public:
    http_turn(std::shared_ptr<http_session> session, bool keepsAlive);

    void respond(http_response response) override;
    void onGone(std::function<void()> gone) override;
    void allowNext() override;

private:
    friend class http_session;

    std::shared_ptr<http_session> m_session; ///< Lives as long as a request isn't answered; the session drops its turns when it closes.
    byte_hold m_body; ///< Of the request.
    byte_hold m_answer; ///< Of the response until it is written.
    std::optional<http_response> m_response;
    std::function<void()> m_gone;
    bool m_keepsAlive = true;
    bool m_isGone = false;
    bool m_allowsNext = false;
};

} // namespace cicadamux::detail
