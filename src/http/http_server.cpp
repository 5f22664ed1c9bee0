/** @file http_server.cpp Accepts the connections of an HTTP server. */

#include "http/http_server_base.h"

#include "http/http_endpoint_func.h"
#include "http/http_session_base.h"

#include <boost/asio/strand.hpp>

#include <mutex>
#include <vector>

namespace cicadamux
{

using boost::asio::ip::tcp;

namespace
{
constexpr std::int64_t acceptRetryDelayMs = 50; // After a failure such as too many open files.
} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(boost::asio::io_context &ioContext, http_limits limits, http_handler handler, http_refusal_builder refusalBuilder)
        : context(ioContext)
        , acceptor(boost::asio::make_strand(ioContext))
        , retryTimer(acceptor.get_executor())
        , shared(std::make_shared<detail::http_session_shared>())
    {
        shared->limits = limits;
        shared->handler = std::move(handler);
        shared->refusalBuilder = std::move(refusalBuilder);
    }

    void bind(std::string_view address);
    void accept();
    void handleAccepted(boost::system::error_code failure, tcp::socket socket);
    void acceptPending();
    void startSession(tcp::socket &&socket);
    void trackSession(const std::shared_ptr<detail::http_session> &session);

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::shared_ptr<detail::http_session_shared> shared;
    std::mutex sessionsMutex;
    std::vector<std::weak_ptr<detail::http_session>> sessions; ///< May hold expired entries; compacted when it has doubled.
    std::size_t compactAt = 64;
};

void http_server::state::bind(std::string_view address)
{
    const tcp::endpoint endpoint = detail::parseEndpoint(address);
    boost::system::error_code failure;
    acceptor.open(endpoint.protocol(), failure);
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(endpoint, failure);
    if (failure) {
        throw address_error("can't listen on " + std::string(address) + ": " + failure.message());
    }
}

void http_server::state::accept()
{
    acceptor.async_accept(boost::asio::make_strand(context), [self = shared_from_this()](boost::system::error_code failure, tcp::socket socket) {
        self->handleAccepted(failure, std::move(socket));
    });
}

void http_server::state::handleAccepted(boost::system::error_code failure, tcp::socket socket)
{
    if (failure == boost::asio::error::operation_aborted || !acceptor.is_open()) {
        return;
    }
    if (failure) {
        retryTimer.expires_after(std::chrono::milliseconds(acceptRetryDelayMs));
        retryTimer.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
            if (!cancelled) {
                self->accept();
            }
        });
        return;
    }
    startSession(std::move(socket));
    accept();
}

/** Accepts the connections that the system holds for the listener; closing it would reset them, with the requests sent on them. */
void http_server::state::acceptPending()
{
    if (!acceptor.is_open()) {
        return;
    }
    boost::system::error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        tcp::socket socket(boost::asio::make_strand(context));
        acceptor.accept(socket, failure);
        if (!failure) {
            startSession(std::move(socket));
        }
    }
}

void http_server::state::startSession(tcp::socket &&socket)
{
    const bool isFull = shared->open.load() >= shared->limits.maxConnections;
    const auto session = std::make_shared<detail::http_session>(std::move(socket), shared);
    if (isFull) {
        session->refuse(shared->refusalBuilder(http_read_failure::too_many_connections));
        return;
    }
    trackSession(session);
    session->start();
}

void http_server::state::trackSession(const std::shared_ptr<detail::http_session> &session)
{
    const std::lock_guard lock(sessionsMutex);
    sessions.push_back(session);
    if (sessions.size() >= compactAt) {
        std::erase_if(sessions, [](const auto &known) {
            return known.expired();
        });
        compactAt = std::max<std::size_t>(sessions.size() * 2, compactAt);
    }
}

http_server::http_server(
    boost::asio::io_context &context, std::string_view address, http_limits limits, http_handler handler, http_refusal_builder refusalBuilder)
    : m_state(std::make_shared<state>(context, limits, std::move(handler), std::move(refusalBuilder)))
{
    m_state->bind(address);
}

void http_server::open()
{
    if (m_state->shared->draining) {
        return;
    }
    m_state->acceptor.listen(tcp::acceptor::max_listen_connections);
    boost::asio::post(m_state->acceptor.get_executor(), [server = m_state] {
        server->accept();
    });
}

http_server::~http_server()
{
    close();
}

std::string http_server::boundAddress() const
{
    return detail::formatEndpoint(m_state->acceptor.local_endpoint());
}

void http_server::setBudget(std::shared_ptr<byte_budget> budget)
{
    m_state->shared->budget = std::move(budget);
}

void http_server::setLimits(const http_limits &limits)
{
    m_state->shared->limits = limits;
}

void http_server::drain()
{
    m_state->shared->draining = true;
    boost::asio::post(m_state->acceptor.get_executor(), [server = m_state] {
        server->acceptPending();
        boost::system::error_code ignored;
        server->acceptor.close(ignored);
        server->retryTimer.cancel();
    });
}

void http_server::close()
{
    drain();
    const std::lock_guard lock(m_state->sessionsMutex);
    for (const auto &known : m_state->sessions) {
        if (const auto session = known.lock()) {
            session->closeIfIdle();
        }
    }
}

std::uint32_t http_server::connections() const
{
    return m_state->shared->open.load();
}

std::size_t http_server::unwritten() const
{
    const std::lock_guard lock(m_state->sessionsMutex);
    std::size_t answers = 0;
    for (const auto &known : m_state->sessions) {
        if (const auto session = known.lock()) {
            answers += session->unwritten();
        }
    }
    return answers;
}

} // namespace cicadamux
