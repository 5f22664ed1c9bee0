/** @file http_session_base.h One connection of an HTTP server. */

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

/** State shared by the sessions of one HTTP server. */
struct http_session_shared {
    http_limits limits;
    http_handler handler;
    http_refusal_builder refusalBuilder;
    std::shared_ptr<byte_budget> budget; ///< For request and response bodies; null: unlimited.
    std::atomic<bool> draining{false}; ///< Connections close after their next response.
    std::atomic<std::uint32_t> open{0}; ///< Number of open connections.
};

class http_session_exchange;

/** Reads requests, passes them to the handler, and writes the responses in the order of the requests. */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket &&socket, std::shared_ptr<http_session_shared> shared);
    ~http_session();
    http_session(const http_session &) = delete;
    http_session &operator=(const http_session &) = delete;

    /** Starts reading requests. */
    void start();

    /** Writes a response without reading a request, then closes; for connections over the limit. */
    void refuse(http_response response);

    /** Closes the connection if no request is being read or answered. */
    void closeIfIdle();

    /** @return Number of answers that are ready and not wholly handed to the system. Not synchronized. */
    std::size_t unwritten() const;

private:
    friend class http_session_exchange;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response_message = boost::beast::http::response<boost::beast::http::string_body>;

    /** State of the reading side. */
    enum class read_state : std::uint8_t {
        first_bytes, ///< Waiting for a request.
        header, ///< Part of a header has been received.
        body,
        paused, ///< Not reading until an earlier request is answered; only watching for the client to disconnect.
        ended ///< No further request is read.
    };

    /** What waits in the socket's receive buffer. */
    enum class pending_input : std::uint8_t {
        none,
        bytes,
        end ///< The client has closed the connection, or it failed.
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
    void watchForDisconnect();
    pending_input pendingInput();
    void handleReadable();
    void handleDisconnect();
    void writeNextResponse();
    void startWrite();
    void handleWritten(boost::beast::error_code failure);
    void finishSending();
    void discardInput();
    void armTimer(clock_ms span);
    void handleTimer();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< Not restarted for each deadline; handleTimer() compares with m_expiry.
    std::optional<clock_ms> m_expiry; ///< Deadline of the current read state, or of the write if nothing is being read.
    bool m_isTimerRunning = false;
    std::shared_ptr<http_session_shared> m_shared;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    byte_reservation m_body; ///< Reservation for the body of the request being read.
    std::deque<std::shared_ptr<http_session_exchange>> m_exchanges; ///< Unanswered requests, oldest first.
    response_message m_response; ///< The response being written.
    std::array<char, 512> m_discarded{};
    std::string m_remoteAddress;
    read_state m_readState = read_state::first_bytes;
    bool m_hasRequest = false; ///< A whole request was read.
    bool m_isWatching = false; ///< A wait of watchForDisconnect() is pending.
    bool m_isWriting = false;
    bool m_closesAfterWrite = false;
    bool m_isLingering = false; ///< The last response is sent; further input is discarded until the client closes.
    bool m_isClosed = false;
};

/** One request of a session, until its response is written. */
class http_session_exchange : public http_exchange, public std::enable_shared_from_this<http_session_exchange>
{
public:
    http_session_exchange(std::shared_ptr<http_session> session, bool keepsAlive);

    void respond(http_response response) override;
    void onDisconnect(std::function<void()> handler) override;
    void allowNext() override;
    bool holdsBackAnswers() const override;

private:
    friend class http_session;

    std::shared_ptr<http_session> m_session; ///< Keeps the session alive until the request is answered; the session drops its exchanges when it closes.
    byte_reservation m_body; ///< Reservation for the request body.
    byte_reservation m_answer; ///< Reservation for the response body until it is written.
    std::optional<http_response> m_response;
    std::function<void()> m_onDisconnect;
    bool m_keepsAlive = true;
    bool m_isDisconnected = false;
    bool m_allowsNext = false;
};

} // namespace cicadamux::detail
