/** @file link_server.cpp Server side of links. */

#include "link/link_server_base.h"

#include "core/socket_func.h"
#include "http/http_endpoint_func.h"
#include "http/http_fields_func.h"
#include "http/http_server_base.h"
#include "link/link_handshake_base.h"

namespace cicadamux
{

using boost::asio::ip::tcp;

namespace
{
constexpr clock_ms acceptRetryDelay{50}; ///< After a failure such as too many open files.
constexpr clock_ms silenceLimit{4'000}; ///< Clients probe every second, so that one silent for longer is gone.

/** One accepted link with its open calls. */
class accepted_link : public std::enable_shared_from_this<accepted_link>
{
public:
    accepted_link(const link_server_hooks &hooks, const std::string &key)
        : m_hooks(hooks)
        , m_handshake(key, link_end::accepting)
    {
    }

    void start(tcp::socket &&socket, std::size_t maxMessage, std::function<void()> ended)
    {
        m_ended = std::move(ended);
        link_stream_hooks hooks;
        hooks.received = [self = weak_from_this()](link_message message) {
            if (const auto link = self.lock()) {
                link->received(std::move(message));
            }
        };
        hooks.closed = [self = weak_from_this()](std::string_view) {
            if (const auto link = self.lock()) {
                link->closed();
            }
        };
        m_stream = std::make_shared<link_stream>(std::move(socket), maxMessage, std::move(hooks));
        m_stream->start();
    }

    void close()
    {
        m_stream->close();
        cancelAll();
    }

    void finishSending()
    {
        m_isFinishing = true;
        m_stream->finishSending();
    }

    std::size_t backlog() const
    {
        return m_stream->backlog();
    }

    void announce(const host_report &report)
    {
        if (m_handshake.isComplete() && !m_isClosed) {
            m_stream->send(report);
        }
    }

private:
    void received(link_message message)
    {
        if (m_isFinishing) {
            return; // No reply could be sent.
        }
        if (!m_handshake.isComplete()) {
            if (const auto reply = m_handshake.receive(message)) {
                m_stream->send(*reply);
            }
            return;
        }
        if (auto *call = std::get_if<link_call>(&message)) {
            startCall(std::move(*call));
        } else if (const auto *cancel = std::get_if<link_cancel>(&message)) {
            const auto found = m_cancels.find(cancel->id.value);
            if (found != m_cancels.end()) {
                const auto cancelCall = found->second;
                cancelCall();
            }
        } else if (std::holds_alternative<link_probe>(message)) {
            m_stream->send(m_hooks.report());
        } else if (auto *offer = std::get_if<configuration_offer>(&message)) {
            m_hooks.configurationOffered(std::move(*offer));
        } else if (auto *hosts = std::get_if<host_introduction>(&message)) {
            m_hooks.hostsIntroduced(std::move(*hosts));
        } else if (const auto *statement = std::get_if<server_statement>(&message)) {
            m_hooks.statementReceived(*statement);
        } else if (const auto *ask = std::get_if<configuration_request>(&message)) {
            configuration_offer offer = m_hooks.configuration();
            if (offer.version > ask->newerThan) {
                m_stream->send(std::move(offer));
            }
        }
    }

    void startCall(link_call call)
    {
        const call_id id = call.id;
        const auto isAnswered = std::make_shared<bool>(false);
        const auto cancel = m_hooks.call(std::move(call), [self = weak_from_this(), id, isAnswered](link_reply reply) {
            *isAnswered = true;
            const auto link = self.lock();
            if (link && !link->m_isClosed) {
                reply.id = id;
                link->m_cancels.erase(id.value);
                link->m_stream->send(link_message(std::move(reply)));
            }
        });
        if (!*isAnswered) {
            m_cancels[id.value] = cancel;
        }
    }

    void closed()
    {
        cancelAll();
        m_ended();
    }

    void cancelAll()
    {
        m_isClosed = true;
        const auto cancels = std::exchange(m_cancels, {});
        for (const auto &[id, cancel] : cancels) {
            cancel();
        }
    }

    const link_server_hooks &m_hooks;
    link_handshake m_handshake;
    std::function<void()> m_ended;
    std::shared_ptr<link_stream> m_stream;
    std::map<std::uint64_t, std::function<void()>> m_cancels; ///< Cancel functions of unanswered calls, by call id.
    bool m_isFinishing = false;
    bool m_isClosed = false;
};
} // namespace

struct link_server::state : std::enable_shared_from_this<link_server::state> {
    state(boost::asio::io_context &ioContext, std::size_t messageLimit, link_server_hooks serverHooks, std::string fleetKey)
        : context(ioContext)
        , acceptor(ioContext)
        , retryTimer(ioContext)
        , maxMessage(messageLimit)
        , hooks(std::move(serverHooks))
        , key(std::move(fleetKey))
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](boost::system::error_code failure, tcp::socket socket) {
            self->accepted(failure, std::move(socket));
        });
    }

    void accepted(boost::system::error_code failure, tcp::socket socket)
    {
        if (!acceptor.is_open()) {
            return;
        }
        if (failure) {
            retryTimer.expires_after(detail::toChrono(acceptRetryDelay));
            retryTimer.async_wait([self = shared_from_this()](boost::system::error_code cancelled) {
                if (!cancelled && self->acceptor.is_open()) {
                    self->accept();
                }
            });
            return;
        }
        if (setPeerTimeout(socket, silenceLimit)) {
            add(std::move(socket));
        }
        accept();
    }

    void add(tcp::socket &&socket)
    {
        const auto link = std::make_shared<accepted_link>(hooks, key);
        links.insert(link);
        link->start(std::move(socket), maxMessage, [self = weak_from_this(), known = std::weak_ptr(link)] {
            if (const auto server = self.lock()) {
                server->links.erase(known.lock());
            }
        });
    }

    void closeLinks()
    {
        const auto open = std::exchange(links, {});
        for (const auto &link : open) {
            link->close();
        }
    }

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::size_t maxMessage;
    link_server_hooks hooks;
    std::string key;
    std::set<std::shared_ptr<accepted_link>> links;
};

link_server::link_server(boost::asio::io_context &context, const std::string &address, std::size_t maxMessage, link_server_hooks hooks, std::string key)
    : m_state(std::make_shared<state>(context, maxMessage, std::move(hooks), std::move(key)))
{
    const tcp::endpoint endpoint = detail::parseEndpoint(address);
    boost::system::error_code failure;
    m_state->acceptor.open(endpoint.protocol(), failure);
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    m_state->acceptor.bind(endpoint, failure);
    if (!failure) {
        m_state->acceptor.listen(tcp::acceptor::max_listen_connections, failure);
    }
    if (failure) {
        throw address_error("can't listen on " + address + ": " + failure.message());
    }
    m_state->accept();
}

link_server::~link_server()
{
    stop();
}

std::string link_server::boundAddress() const
{
    return detail::formatEndpoint(m_state->acceptor.local_endpoint());
}

void link_server::announce(const host_report &report)
{
    const auto links = m_state->links; // A failed write removes its link.
    for (const auto &link : links) {
        link->announce(report);
    }
}

void link_server::finishSending()
{
    for (const auto &link : m_state->links) {
        link->finishSending();
    }
}

std::size_t link_server::backlog() const
{
    std::size_t bytes = 0;
    for (const auto &link : m_state->links) {
        bytes += link->backlog();
    }
    return bytes;
}

std::size_t link_server::count() const
{
    return m_state->links.size();
}

void link_server::closeLinks()
{
    m_state->closeLinks();
}

void link_server::stop()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
    m_state->retryTimer.cancel();
    m_state->closeLinks();
}

} // namespace cicadamux
