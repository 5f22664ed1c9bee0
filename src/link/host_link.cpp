/** @file host_link.cpp Client side of a link to one host. */

#include "link/host_link_base.h"

#include "core/random_func.h"
#include "core/socket_func.h"
#include "http/http_endpoint_func.h"
#include "http/http_fields_func.h"

namespace cicadamux
{

using boost::asio::ip::tcp;
using detail::toChrono;

namespace
{
constexpr clock_ms recentlyHeard{200}; ///< A peer heard from this recently needs no extra probe.
} // namespace

host_link::host_link(boost::asio::io_context &context, std::string address, const host_link_settings &settings, host_link_hooks hooks)
    : m_context(context)
    , m_address(std::move(address))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_timer(context)
    , m_backoff(settings.initialBackoff)
{
}

void host_link::start()
{
    connect();
}

void host_link::connect()
{
    const auto socket = std::make_shared<tcp::socket>(m_context);
    m_timer.expires_after(toChrono(m_settings.connectTimeout));
    m_timer.async_wait([socket](boost::system::error_code cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(detail::parseEndpoint(m_address), [self = shared_from_this(), socket](boost::system::error_code failure) {
        if (self->m_stopped) {
            return;
        }
        self->m_timer.cancel();
        if (failure) {
            self->scheduleReconnect();
        } else {
            self->connected(std::move(*socket));
        }
    });
}

void host_link::connected(tcp::socket socket)
{
    if (!setPeerTimeout(socket, m_settings.disconnectAfter)) {
        m_hooks.changed(false, "could not set socket options");
        scheduleReconnect();
        return;
    }
    link_stream_hooks hooks;
    hooks.received = [self = weak_from_this()](link_message message) {
        if (const auto link = self.lock()) {
            link->received(std::move(message));
        }
    };
    hooks.closed = [self = weak_from_this()](std::string_view why) {
        if (const auto link = self.lock()) {
            link->disconnected(why);
        }
    };
    m_stream = std::make_shared<link_stream>(std::move(socket), m_settings.maxMessage, std::move(hooks));
    m_stream->start();
    m_handshake.emplace(m_settings.key, link_end::connecting);
    m_unansweredSince = steadyNow();
    if (const auto hello = m_handshake->begin()) {
        m_stream->send(*hello);
    } else {
        handshakeCompleted();
    }
}

void host_link::handshakeCompleted()
{
    m_backoff = m_settings.initialBackoff;
    m_unansweredSince.reset();
    m_lastProbe = {};
    m_hooks.changed(true, "connected");
    tick(steadyNow());
}

bool host_link::isUsable() const
{
    return m_stream && m_handshake->isComplete();
}

void host_link::received(link_message message)
{
    if (!m_handshake->isComplete()) {
        if (const auto reply = m_handshake->receive(message)) {
            m_stream->send(*reply);
        }
        if (m_handshake->isComplete()) {
            handshakeCompleted();
        }
        return;
    }
    m_unansweredSince.reset();
    if (auto *reply = std::get_if<link_reply>(&message)) {
        m_hooks.reported(reply->report);
        const auto found = m_calls.find(reply->id.value);
        if (found != m_calls.end()) {
            const link_reply_handler handler = std::move(found->second.handler);
            m_calls.erase(found);
            handler(std::move(*reply));
        }
    } else if (const auto *report = std::get_if<host_report>(&message)) {
        m_hooks.reported(*report);
    } else if (auto *offer = std::get_if<configuration_offer>(&message)) {
        m_hooks.configurationOffered(std::move(*offer));
    }
}

void host_link::disconnected(std::string_view why)
{
    const auto stream = std::exchange(m_stream, nullptr);
    const auto calls = std::exchange(m_calls, {});
    if (!m_stopped) {
        m_hooks.changed(false, why);
        scheduleReconnect();
    }
    for (const auto &[id, open] : calls) {
        link_reply reply;
        reply.id = call_id{id};
        const bool mayHaveBeenSent = stream && stream->mayHaveBeenSent(open.messageNumber);
        reply.outcome = mayHaveBeenSent ? call_outcome::unknown : call_outcome::not_run;
        reply.reason = mayHaveBeenSent ? outcome_reason::connection_lost : outcome_reason::no_upstream;
        open.handler(std::move(reply));
    }
}

void host_link::scheduleReconnect()
{
    if (m_stopped) {
        return;
    }
    const auto delay = static_cast<std::int64_t>(threadRandom() % static_cast<std::uint64_t>(m_backoff.count)) + m_backoff.count / 2;
    m_backoff = std::min(m_settings.maxBackoff, m_backoff + m_backoff);
    m_timer.expires_after(std::chrono::milliseconds(delay));
    m_timer.async_wait([self = weak_from_this()](boost::system::error_code cancelled) {
        const auto link = self.lock();
        if (!cancelled && link && !link->m_stopped) {
            link->connect();
        }
    });
}

call_id host_link::call(link_call call, link_reply_handler handler)
{
    if (!isUsable() || m_stream->backlog() > m_settings.maxBacklog) {
        return call_id::invalid();
    }
    const call_id id{++m_lastId};
    call.id = id;
    if (!m_unansweredSince) {
        m_unansweredSince = steadyNow();
    }
    // Stored before sending, so that the call is ended if the stream fails at once.
    auto &open = m_calls[id.value];
    open.handler = std::move(handler);
    open.messageNumber = m_stream->send(link_message(std::move(call)));
    return id;
}

void host_link::cancel(call_id call)
{
    if (m_stream && m_calls.contains(call.value)) {
        m_stream->send(link_cancel{call});
    }
}

void host_link::forget(call_id call)
{
    m_calls.erase(call.value);
}

void host_link::requestConfiguration(std::uint64_t newerThan)
{
    if (isUsable()) {
        m_stream->send(configuration_request{newerThan});
    }
}

void host_link::sendIntroduction(configuration_offer configuration, host_introduction hosts)
{
    if (isUsable()) {
        m_stream->send(std::move(configuration));
        m_stream->send(std::move(hosts));
    }
}

void host_link::sendStatement(const server_statement &statement)
{
    if (isUsable()) {
        m_stream->send(statement);
    }
}

void host_link::tick(clock_ms now)
{
    if (!m_stream) {
        return;
    }
    if (m_unansweredSince && now - *m_unansweredSince > m_settings.disconnectAfter) {
        m_stream->close();
        disconnected("silent");
        return;
    }
    if (!isUsable()) {
        return;
    }
    const bool isSilent = m_unansweredSince && now - *m_unansweredSince > clock_ms{m_settings.suspectAfter.count / 2};
    const clock_ms period = isSilent ? clock_ms{m_settings.suspectAfter.count / 2} : m_settings.probePeriod;
    if (now - m_lastProbe >= period) {
        sendProbe(now);
    }
}

void host_link::sendProbe(clock_ms now)
{
    m_lastProbe = now;
    if (!m_unansweredSince) {
        m_unansweredSince = now;
    }
    m_stream->send(link_probe{});
}

void host_link::setProbePeriod(clock_ms period)
{
    m_settings.probePeriod = period;
}

void host_link::probeNow(clock_ms now)
{
    if (isUsable() && !m_unansweredSince && now - m_stream->lastReceived() > recentlyHeard) {
        sendProbe(now);
    }
}

std::string_view toString(link_health health)
{
    switch (health) {
    case link_health::up:
        return "up";
    case link_health::suspect:
        return "suspect";
    case link_health::down:
        break;
    }
    return "down";
}

link_health host_link::health() const
{
    if (!isUsable()) {
        return link_health::down;
    }
    const bool isSilent = m_unansweredSince && steadyNow() - *m_unansweredSince > m_settings.suspectAfter;
    return isSilent ? link_health::suspect : link_health::up;
}

const std::string &host_link::address() const
{
    return m_address;
}

void host_link::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_stream) {
        m_stream->close();
        disconnected("stopped");
    }
}

} // namespace cicadamux
