/** @file http_answer_reader.cpp Reads the answer to a request from a connection. */

#include "http/http_answer_reader_base.h"

#include "http/http_status_type.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>

#include <algorithm>
#include <utility>

namespace cicadamux::detail
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{
constexpr std::size_t readSize = 65'536; ///< Greatest size of one read, bytes.
constexpr std::string_view endOfHead = "\r\n\r\n";
constexpr int maxInterimAnswers = 8; ///< 1xx responses per request; more come only from a server that never answers.

/** @return Whether a line begins with a blank. Beast would append it to the field above (RFC 9112, section 5.2, lets a gateway refuse it). */
bool hasFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}
} // namespace

http_answer_reader::http_answer_reader(beast::tcp_stream &stream, std::size_t maxHeaderBytes)
    : m_stream(stream)
    , m_buffer(maxHeaderBytes + readSize)
{
}

void http_answer_reader::read(const std::shared_ptr<void> &owner, const http_answer_bounds &bounds, http_answer_hooks hooks)
{
    m_owner = owner;
    m_bounds = bounds;
    m_hooks = std::move(hooks);
    m_interimAnswers = 0;
    startAnswer();
}

bool http_answer_reader::hasStarted() const
{
    return m_buffer.size() > 0 || m_parser->got_some();
}

bool http_answer_reader::hasMoreBytes() const
{
    return m_buffer.size() > 0;
}

void http_answer_reader::clear()
{
    m_buffer.clear();
}

http_answer_reader::parser &http_answer_reader::answer()
{
    return *m_parser;
}

void http_answer_reader::startAnswer()
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_bounds.maxHeaderBytes));
    m_parser->body_limit(m_bounds.maxBodyBytes);
    m_parser->skip(m_bounds.isToHead);
    m_parser->eager(true);
    m_searched = 0;
    if (m_buffer.size() > 0) {
        parse();
    } else {
        receive();
    }
}

void http_answer_reader::receive()
{
    const std::size_t size = beast::read_size(m_buffer, readSize);
    if (size == 0) {
        end(http::error::buffer_overflow);
        return;
    }
    m_stream.async_read_some(m_buffer.prepare(size), [this, owner = m_owner.lock()](beast::error_code failure, std::size_t bytes) {
        received(failure, bytes);
    });
}

void http_answer_reader::received(beast::error_code failure, std::size_t bytes)
{
    m_buffer.commit(bytes);
    if (failure == boost::asio::error::eof) {
        endByClose();
    } else if (failure) {
        end(failure);
    } else {
        parse();
    }
}

void http_answer_reader::parse()
{
    beast::error_code failure;
    if (!m_parser->is_header_done()) {
        failure = checkHead();
    }
    if (failure == http::error::need_more) {
        receive();
        return;
    }
    if (!failure) {
        m_buffer.consume(m_parser->put(m_buffer.data(), failure));
    }
    const bool isBodyIncomplete = failure == http::error::need_more && m_parser->is_header_done();
    if (failure && !isBodyIncomplete) {
        end(failure);
    } else {
        continueAfterHead();
    }
}

/** @return `need_more` unless the buffer holds the whole head; `bad_field` if it has a folded line. */
beast::error_code http_answer_reader::checkHead()
{
    const std::string_view bytes(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
    const std::size_t found = bytes.find(endOfHead, m_searched);
    if (found != std::string_view::npos) {
        return hasFoldedLine(bytes.substr(0, found)) ? http::error::bad_field : beast::error_code();
    }
    m_searched = bytes.size() - std::min(bytes.size(), endOfHead.size() - 1);
    return bytes.size() < m_bounds.maxHeaderBytes ? http::error::need_more : http::error::header_limit;
}

void http_answer_reader::continueAfterHead()
{
    const unsigned status = m_parser->get().result_int();
    if (status < http_status::first || status > http_status::last) {
        end(http::error::bad_status);
    } else if (status < http_status::firstFinal) {
        skipInterimAnswer();
    } else if (m_parser->is_done()) {
        end({});
    } else if (m_hooks.holds && !m_hooks.holds(m_parser->get().body().size())) {
        end(boost::asio::error::no_memory);
    } else {
        receive();
    }
}

void http_answer_reader::skipInterimAnswer()
{
    ++m_interimAnswers;
    const bool isUpgrade = m_parser->get().result() == http::status::switching_protocols; // Never requested.
    if (isUpgrade || m_interimAnswers > maxInterimAnswers) {
        end(http::error::bad_status);
    } else {
        startAnswer();
    }
}

void http_answer_reader::endByClose()
{
    beast::error_code failure;
    if (!hasStarted()) {
        failure = http::error::end_of_stream;
    } else if (!m_parser->is_header_done()) {
        failure = http::error::partial_message;
    } else {
        m_parser->put_eof(failure);
    }
    end(failure);
}

void http_answer_reader::end(beast::error_code failure)
{
    const http_answer_hooks hooks = std::exchange(m_hooks, {});
    hooks.ended(failure);
}

} // namespace cicadamux::detail
