/** @file host_link_base.h Client side of a link to one host. */

#pragma once

#include "link/link_handshake_base.h"
#include "link/link_stream_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cicadamux
{

/** Timeouts and size limits of a link. */
struct host_link_settings {
    clock_ms connectTimeout{500}; ///< A reachable host answers in a few milliseconds; retransmitting one lost packet takes a second.
    clock_ms probePeriod{1'000}; ///< Interval of probes, whether or not the link carries calls.
    clock_ms suspectAfter{500}; ///< Time without an answer to a probe or call after which the link is suspect.
    clock_ms disconnectAfter{2'500}; ///< Time without an answer after which the link is closed; shorter than the time in which the platform expects contact.
    clock_ms initialBackoff{200}; ///< Delay before reconnecting; doubles with each failure.
    clock_ms maxBackoff{2'000};
    std::size_t maxMessage = 70'000'000; ///< Greatest message that is accepted, bytes.
    std::size_t maxBacklog = 8'000'000; ///< Bytes waiting to be written above which calls are refused.
    std::string key; ///< Of the fleet; empty: no handshake.
};

/** Callbacks of a link. */
struct host_link_hooks {
    std::function<void(const host_report &report)> reported;
    std::function<void(configuration_offer offer)> configurationOffered;
    std::function<void(bool isUp, std::string_view why)> changed; ///< The link was connected or disconnected.
};

/** State of a link. */
enum class link_health : std::uint8_t {
    up,
    suspect, ///< Connected, but a probe or call has gone unanswered for a while.
    down
};

/** @return The name used in logs and answers, such as `suspect`. */
std::string_view toString(link_health health);

using link_reply_handler = std::function<void(link_reply reply)>;

/** Not thread-safe. Reconnects automatically after a failure. */
class host_link : public std::enable_shared_from_this<host_link>
{
public:
    host_link(boost::asio::io_context &context, std::string address, const host_link_settings &settings, host_link_hooks hooks);

    /** Starts to connect. */
    void start();

    /**
     * Sends a call. The handler is called exactly once, after this function has returned.
     * @return The call's id; invalid if the link is down or overloaded, in which case the handler isn't called.
     */
    call_id call(link_call call, link_reply_handler handler);

    /** Asks the gate to cancel a call; its reply is still delivered. */
    void cancel(call_id call);

    /** Discards a call's handler; its reply will be ignored. */
    void forget(call_id call);

    /** Requests the configuration if it is newer than this version. */
    void requestConfiguration(std::uint64_t newerThan);

    /** Sends the configuration and the known hosts to a newly started host. */
    void sendIntroduction(configuration_offer configuration, host_introduction hosts);

    /** Tells the host what its backend server has stated, which it may have forgotten. */
    void sendStatement(const server_statement &statement);

    /** Sends probes and detects a silent peer. Must be called a few times a second. */
    void tick(clock_ms now);

    /** Sets the interval of probes. */
    void setProbePeriod(clock_ms period);

    /** Sends a probe now unless something was received just before or a reply is outstanding. */
    void probeNow(clock_ms now);

    link_health health() const;
    const std::string &address() const;

    /** Closes the link; open calls end as `unknown` or `not_run`. */
    void stop();

private:
    struct open_call {
        std::uint64_t messageNumber = 0; ///< From link_stream::send().
        link_reply_handler handler;
    };

    void connect();
    void connected(boost::asio::ip::tcp::socket socket);
    void handshakeCompleted();
    void sendProbe(clock_ms now);
    bool isUsable() const;
    void received(link_message message);
    void disconnected(std::string_view why);
    void scheduleReconnect();

    boost::asio::io_context &m_context;
    std::string m_address;
    host_link_settings m_settings;
    host_link_hooks m_hooks;
    boost::asio::steady_timer m_timer; ///< Limits a connection attempt, or delays the next one.
    std::shared_ptr<link_stream> m_stream; ///< Null while disconnected.
    std::optional<link_handshake> m_handshake; ///< Of the current connection.
    std::map<std::uint64_t, open_call> m_calls; ///< By id.
    std::uint64_t m_lastId = 0;
    std::optional<clock_ms> m_unansweredSince; ///< When the oldest unanswered probe or call was sent; reset by any message received.
    clock_ms m_lastProbe;
    clock_ms m_backoff;
    bool m_stopped = false;
};

} // namespace cicadamux
