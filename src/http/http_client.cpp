/** @file http_client.cpp HTTP/1.1 client with a pool of connections to one server. */

#include "http/http_client_base.h"

#include "http/http_answer_reader_base.h"
#include "http/http_endpoint_func.h"
#include "http/http_fields_func.h"
#include "http/http_status_type.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <bitset>
#include <charconv>
#include <mutex>
#include <optional>
#include <vector>

namespace cicadamux
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{

constexpr std::size_t concurrentWriteMinBytes = 32'768; ///< From this body size on, the response is read while the request is still being written.
constexpr int maxForeignAnswers = 3; ///< Responses to other requests after which a connection is no longer trusted.
constexpr std::int64_t idleMarginMs = 500; ///< An idle connection is dropped this long before the server's keep-alive timeout, to avoid a race with its close.

using detail::copyHeaders;
using detail::toChrono;

/** Parses the `timeout` parameter of a `Keep-Alive` header, which is in seconds; nothing if there is none. */
std::optional<clock_ms> keepAliveTimeout(const http::fields &fields)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value(fields[http::field::keep_alive].data(), fields[http::field::keep_alive].size());
    const auto found = value.find(parameter);
    std::uint32_t seconds = 0;
    if (found == std::string_view::npos || std::from_chars(value.data() + found + parameter.size(), value.data() + value.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    constexpr std::int64_t msPerSecond = 1'000;
    return clock_ms{seconds * msPerSecond};
}

class client_connection;

/** Connection pool of one client. */
struct client_pool {
    std::mutex mutex;
    std::vector<std::shared_ptr<client_connection>> idle; ///< Used as a stack: the most recently used connection is reused first.
    std::atomic<std::uint32_t> open{0};
    bool closed = false;
};

/** Progress of writing a request. */
enum class write_progress : std::uint8_t {
    pending,
    written,
    peer_ended, ///< Failed, after the server had ended its direction of the connection.
    failed ///< Failed for another reason, such as a reset.
};

/** A reset after the server's end of the stream is the only cause of `broken_pipe` on a connection that this end has not shut down. */
write_progress progressOf(beast::error_code failure)
{
    if (!failure) {
        return write_progress::written;
    }
    return failure == boost::asio::error::broken_pipe ? write_progress::peer_ended : write_progress::failed;
}

/** One connection, which carries one request at a time. */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context &context, tcp::endpoint endpoint, http_limits limits, std::shared_ptr<client_pool> pool)
        : m_stream(boost::asio::make_strand(context))
        , m_endpoint(std::move(endpoint))
        , m_limits(limits)
        , m_pool(std::move(pool))
        , m_reader(m_stream, limits.maxHeaderBytes)
    {
    }

    ~client_connection()
    {
        m_pool->open.fetch_sub(1);
    }

    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    /** Sends a request; connects first if needed. */
    void start(http_request request, http_result_handler handler, http_answer_rules rules)
    {
        boost::asio::dispatch(m_stream.get_executor(),
                              [self = shared_from_this(), request = std::move(request), handler = std::move(handler), rules = std::move(rules)]() mutable {
                                  self->m_rules = std::move(rules);
                                  self->begin(std::move(request), std::move(handler));
                              });
    }

    /** Drops the request and closes the connection. */
    void abandon()
    {
        boost::asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
            self->m_handler = nullptr;
            self->m_held = {};
            self->m_stream.close();
        });
    }

    /** @return Whether the idle connection is still open, has no unexpected input, and hasn't reached the server's keep-alive timeout. */
    bool isReusable()
    {
        if (m_reusableUntil && steadyNow() >= *m_reusableUntil) {
            return false;
        }
        char byte = 0;
        beast::error_code failure;
        m_stream.socket().non_blocking(true, failure);
        m_stream.socket().receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure == boost::asio::error::would_block;
    }

private:
    void begin(http_request request, http_result_handler handler)
    {
        m_handler = std::move(handler);
        buildRequest(std::move(request));
        if (m_connected) {
            write();
            return;
        }
        m_stream.expires_after(toChrono(m_limits.connectTimeout));
        m_stream.async_connect(m_endpoint, [self = shared_from_this()](beast::error_code failure) {
            self->handleConnected(failure);
        });
    }

    void buildRequest(http_request request)
    {
        m_request = http::request<http::string_body>();
        m_request.method_string(request.method);
        m_request.target(request.target);
        if (!findHeader(request.headers, "host")) {
            m_request.set(http::field::host, "backend");
        }
        for (const http_field &field : request.headers) {
            m_request.insert(field.name, field.value);
        }
        m_request.body() = std::move(request.body);
        m_request.keep_alive(true);
        m_request.prepare_payload();
    }

    void handleConnected(beast::error_code failure)
    {
        if (failure) {
            finish({http_failure::no_connection, {}});
            return;
        }
        m_connected = true;
        beast::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        write();
    }

    void write()
    {
        m_stream.expires_never();
        m_foreignAnswers = 0;
        m_held = byte_reservation(m_rules.budget);
        m_writing = write_progress::pending;
        m_endAwaitsWrite = false;
        const bool readsEarly = m_request.body().size() >= concurrentWriteMinBytes;
        http::async_write(m_stream, m_request, [self = shared_from_this(), readsEarly](beast::error_code failure, std::size_t) {
            self->m_writing = progressOf(failure);
            if (readsEarly) {
                self->handleEarlyWritten();
            } else if (failure) {
                self->finish({http_failure::lost, {}});
            } else {
                self->read();
            }
        });
        if (readsEarly) {
            read();
        }
    }

    /** Continues an answer that waits for the outcome of the write; otherwise handleRead() reports the request's outcome. */
    void handleEarlyWritten()
    {
        if (std::exchange(m_endAwaitsWrite, false)) {
            handleEndOfStream();
        }
    }

    void read()
    {
        detail::http_answer_hooks hooks;
        hooks.holds = [this](std::size_t bodyBytes) {
            return m_held.tryResize(bodyBytes);
        };
        hooks.ended = [this](beast::error_code failure) {
            handleRead(failure);
        };
        m_reader.read(shared_from_this(), {m_limits.maxHeaderBytes, m_limits.maxBodyBytes, m_request.method() == http::verb::head}, std::move(hooks));
    }

    void handleRead(beast::error_code failure)
    {
        if (failure == boost::asio::error::no_memory) {
            finish({http_failure::memory_exhausted, {}});
        } else if (failure) {
            finish({m_reader.hasStarted() ? http_failure::broken_answer : http_failure::lost, {}});
        } else if (m_reader.answer().need_eof()) {
            handleEndOfStream();
        } else {
            handleAnswer();
        }
    }

    /**
     * Handles an answer without a length, which the end of the stream has completed unless that end was a reset. The system reports
     * a reset once: if the write gets the error, the read only sees the end of the stream.
     */
    void handleEndOfStream()
    {
        if (m_writing == write_progress::pending && !isConnected()) {
            m_endAwaitsWrite = true; // The write is about to fail; its error tells which came first, the end or the reset.
        } else if (!m_rules.acceptsUnframed || m_writing == write_progress::failed) {
            finish({http_failure::broken_answer, {}});
        } else {
            handleAnswer();
        }
    }

    /** @return False after a reset; true while only the server's direction has ended. */
    bool isConnected()
    {
        beast::error_code failure;
        m_stream.socket().remote_endpoint(failure);
        return !failure;
    }

    void handleAnswer()
    {
        auto &answer = m_reader.answer();
        const bool isUnframed = answer.need_eof();
        const bool keepAlive = answer.keep_alive();
        auto message = answer.release();
        http_result result;
        result.response.status = message.result_int();
        result.response.headers = copyHeaders(message);
        result.response.body = std::move(message.body());
        const answer_owner owner = m_rules.ownerOf ? m_rules.ownerOf(result.response) : answer_owner::request;
        const bool isPossibleCopy = owner == answer_owner::unnamed && m_statuses.test(result.response.status);
        m_statuses.set(result.response.status);
        if (owner == answer_owner::other || isPossibleCopy) {
            handleForeignAnswer(keepAlive);
            return;
        }
        const auto idleTimeout = keepAliveTimeout(message);
        m_reusableUntil.reset();
        if (idleTimeout) {
            m_reusableUntil = steadyNow() + *idleTimeout - clock_ms{idleMarginMs};
        }
        const bool isWritten = m_writing == write_progress::written;
        const bool isCertain = owner == answer_owner::request && m_foreignAnswers == 0;
        finishComplete(std::move(result), keepAlive && !isUnframed && isWritten && isCertain && !m_reader.hasMoreBytes());
    }

    /** Drops a late or duplicate response to another request. */
    void handleForeignAnswer(bool keepAlive)
    {
        ++m_foreignAnswers;
        if (!keepAlive || m_foreignAnswers >= maxForeignAnswers) {
            finish({http_failure::mismatched_answer, {}});
        } else {
            read();
        }
    }

    void finishComplete(http_result result, bool reusable)
    {
        m_held = {};
        result.droppedAnswers = m_foreignAnswers;
        const auto handler = std::exchange(m_handler, nullptr);
        const bool kept = reusable && handler && returnToPool();
        if (!kept) {
            m_stream.close();
        }
        if (handler) {
            handler(std::move(result));
        }
    }

    void finish(http_result result)
    {
        m_held = {};
        result.droppedAnswers = m_foreignAnswers;
        m_stream.close();
        const auto handler = std::exchange(m_handler, nullptr);
        if (handler) {
            handler(std::move(result));
        }
    }

    bool returnToPool()
    {
        const std::lock_guard lock(m_pool->mutex);
        if (m_pool->closed) {
            return false;
        }
        m_pool->idle.push_back(shared_from_this());
        return true;
    }

    beast::tcp_stream m_stream;
    tcp::endpoint m_endpoint;
    http_limits m_limits;
    std::shared_ptr<client_pool> m_pool;
    detail::http_answer_reader m_reader;
    http::request<http::string_body> m_request;
    http_result_handler m_handler;
    http_answer_rules m_rules;
    std::optional<clock_ms> m_reusableUntil; ///< From the `Keep-Alive` header of the last response; nothing if it had none.
    byte_reservation m_held; ///< Reservation for the part of the response body that was read.
    std::bitset<http_status::last + 1> m_statuses; ///< Statuses of all answers on this connection.
    int m_foreignAnswers = 0; ///< Responses to other requests dropped while waiting for this one.
    write_progress m_writing = write_progress::pending; ///< Of the current request.
    bool m_endAwaitsWrite = false; ///< An answer without a length has ended, but it isn't known yet whether in a reset.
    bool m_connected = false;
};

/** Handle by which a request's owner can abandon it. Has no effect once the request has ended, as its connection may carry another one by then. */
class pending_request : public pending_http_request
{
public:
    explicit pending_request(const std::shared_ptr<client_connection> &connection)
        : m_connection(connection)
    {
    }

    void abandon() override
    {
        if (m_ended->exchange(true)) {
            return;
        }
        if (const auto connection = m_connection.lock()) {
            connection->abandon();
        }
    }

    std::shared_ptr<std::atomic<bool>> ended()
    {
        return m_ended;
    }

private:
    std::weak_ptr<client_connection> m_connection;
    std::shared_ptr<std::atomic<bool>> m_ended = std::make_shared<std::atomic<bool>>(false);
};

} // namespace

std::string_view describe(http_failure failure)
{
    switch (failure) {
    case http_failure::none:
        return "none";
    case http_failure::no_connection:
        return "no_connection";
    case http_failure::lost:
        return "lost";
    case http_failure::broken_answer:
        return "broken_answer";
    case http_failure::mismatched_answer:
        return "mismatched_answer";
    case http_failure::memory_exhausted:
        break;
    }
    return "memory_exhausted";
}

struct http_client::state {
    state(boost::asio::io_context &ioContext, tcp::endpoint server, http_limits bounds)
        : context(ioContext)
        , endpoint(std::move(server))
        , limits(bounds)
        , pool(std::make_shared<client_pool>())
    {
    }

    std::shared_ptr<client_connection> takeIdle()
    {
        while (true) {
            std::shared_ptr<client_connection> candidate;
            {
                const std::lock_guard lock(pool->mutex);
                if (pool->idle.empty()) {
                    return nullptr;
                }
                candidate = std::move(pool->idle.back());
                pool->idle.pop_back();
            }
            if (candidate->isReusable()) {
                return candidate;
            }
        }
    }

    std::shared_ptr<client_connection> makeConnection()
    {
        std::uint32_t open = pool->open.load();
        do {
            if (open >= limits.maxConnections) {
                return nullptr;
            }
        } while (!pool->open.compare_exchange_weak(open, open + 1));
        return std::make_shared<client_connection>(context, endpoint, limits, pool);
    }

    boost::asio::io_context &context;
    tcp::endpoint endpoint;
    http_limits limits;
    std::shared_ptr<client_pool> pool;
};

http_client::http_client(boost::asio::io_context &context, std::string_view address, http_limits limits)
    : m_state(std::make_shared<state>(context, detail::parseEndpoint(address), limits))
{
}

http_client::~http_client()
{
    close();
}

std::shared_ptr<pending_http_request> http_client::send(http_request request, http_result_handler handler, http_answer_rules rules)
{
    auto connection = m_state->takeIdle();
    if (!connection) {
        connection = m_state->makeConnection();
    }
    if (!connection) {
        boost::asio::post(m_state->context, [handler = std::move(handler)] {
            handler({http_failure::no_connection, {}});
        });
        return std::make_shared<pending_request>(nullptr);
    }
    const auto pending = std::make_shared<pending_request>(connection);
    connection->start(
        std::move(request),
        [ended = pending->ended(), handler = std::move(handler)](http_result result) {
            if (!ended->exchange(true)) {
                handler(std::move(result));
            }
        },
        std::move(rules));
    return pending;
}

void http_client::setLimits(const http_limits &limits)
{
    m_state->limits = limits;
}

std::uint32_t http_client::connections() const
{
    return m_state->pool->open.load();
}

void http_client::close()
{
    std::vector<std::shared_ptr<client_connection>> idle;
    {
        const std::lock_guard lock(m_state->pool->mutex);
        m_state->pool->closed = true;
        idle.swap(m_state->pool->idle);
    }
}

} // namespace cicadamux
