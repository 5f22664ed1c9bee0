/** @file http_session_base.h One connection of an HTTP listener. */

#pragma once

#include "http/http_type.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
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
    std::atomic<bool> draining{false}; ///< Close after the next answer.
    std::atomic<std::uint32_t> open{0}; ///< Connections now open.
};

/** Reads one request at a time, hands it over, and writes its response. */
class http_session : public http_exchange, public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket &&socket, std::shared_ptr<http_session_shared> shared);
    ~http_session() override;

    /** Begins to read. */
    void start();

    /** Writes a response without reading a request, and closes; for connections over the limit. */
    void refuse(http_response response);

    /** Closes the connection if it is between two requests. */
    void closeIfIdle();

    void respond(http_response response) override;
    void onGone(std::function<void()> gone) override;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response_message = boost::beast::http::response<boost::beast::http::string_body>;

    /** Where the connection is in its cycle. */
    enum class phase { idle, reading, handling, writing, closed };

    void readFirstBytes();
    void readRest();
    void startRequestTimer();
    void handleReadFailure(boost::beast::error_code failure);
    void handleRequest();
    void watchForHangUp();
    void handleReadable();
    void write(http_response response, bool keepAlive);
    void handleWritten(boost::beast::error_code failure, bool keepAlive);
    void close();

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_requestTimer; ///< Bounds the arrival of one request.
    std::shared_ptr<http_session_shared> m_shared;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    response_message m_response;
    std::function<void()> m_gone;
    std::string m_remoteAddress;
    phase m_phase = phase::idle;
    bool m_requestKeepsAlive = false;
};

} // namespace cicadamux::detail
