/** @file http_answer_reader_base.h Reads the answer to a request from a connection, based on Boost.Beast. */

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cicadamux::detail
{

/** What a reader expects of an answer. */
struct http_answer_bounds {
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    bool isToHead = false; ///< The answer has no body, whatever length it states.
};

/** Hooks of one read. */
struct http_answer_hooks {
    std::function<bool(std::size_t bodyBytes)> holds; ///< Called as the body grows; false ends the read with `no_memory`. Empty: always true.
    std::function<void(boost::beast::error_code failure)> ended; ///< Called once, unless the stream's context ends before.
};

/**
 * Reads one answer at a time and skips the 1xx responses before it. What HTTP doesn't allow in an answer ends the read with an
 * error of Beast's HTTP category. Used by the strand of its stream.
 */
class http_answer_reader
{
public:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /** @param maxHeaderBytes Bounds the buffer, so that of each answer may not exceed it. */
    http_answer_reader(boost::beast::tcp_stream &stream, std::size_t maxHeaderBytes);

    /** Reads the next answer. @param owner Keeps the reader and its stream alive until the read has ended. */
    void read(const std::shared_ptr<void> &owner, const http_answer_bounds &bounds, http_answer_hooks hooks);

    /** @return Whether a part of the answer has arrived. */
    bool hasStarted() const;

    /** @return Whether bytes follow the answer. */
    bool hasMoreBytes() const;

    /** Drops the bytes that follow the answer. */
    void clear();

    /** @return The answer; whole if the read ended without a failure. */
    parser &answer();

private:
    void startAnswer();
    void receive();
    void received(boost::beast::error_code failure, std::size_t bytes);
    void parse();
    boost::beast::error_code checkHead();
    void continueAfterHead();
    void skipInterimAnswer();
    void endByClose();
    void end(boost::beast::error_code failure);

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    http_answer_bounds m_bounds;
    http_answer_hooks m_hooks;
    std::weak_ptr<void> m_owner;
    std::size_t m_searched = 0; ///< Bytes at the start of the buffer in which the end of the head doesn't begin.
    int m_interimAnswers = 0; ///< 1xx responses to this request.
};

} // namespace cicadamux::detail
