/** @file host_link_base.h The calling side of a link to one host. */

#pragma once

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

/** Bounds of a link. */
struct host_link_settings {
    clock_ms connectTimeout{500}; ///< A host that is there answers in a few milliseconds; one lost packet costs a second.
    clock_ms probePeriod{1'000}; ///< Between two probes of a link, whether or not it carries calls.
    clock_ms suspectAfter{500}; ///< Silence after a probe or call that makes a link suspect.
    clock_ms breakAfter{2'500}; ///< Silence that breaks a link; under the platform's time of contact.
    clock_ms firstBackoff{200}; ///< Before connecting again; doubles.
    clock_ms lastBackoff{2'000};
    std::size_t maxMessage = 70'000'000; ///< Bytes.
    std::size_t maxBacklog = 8'000'000; ///< Bytes that wait to be written; beyond it calls aren't taken.
};

/** What a link tells its owner. */
struct host_link_hooks {
    std::function<void(const host_report &report)> reported;
    std::function<void(configuration_offer offer)> offered;
    std::function<void(bool isUp, std::string_view why)> changed; ///< Connected, or broken.
};

/** Whether a link can be used. */
enum class link_health : std::uint8_t {
    up,
    suspect, ///< Connected, but silent for a while.
    down
};

/** @return The name used in logs and answers, such as `suspect`. */
std::string_view toString(link_health health);

using link_reply_handler = std::function<void(link_reply reply)>;

/** Used by one thread. Connects by itself and again after a break. */
class host_link : public std::enable_shared_from_this<host_link>
{
public:
    host_link(boost::asio::io_context &context, std::string address, const host_link_settings &settings, host_link_hooks hooks);

    /** Begins to connect. */
    void start();

    /**
     * Sends a call over a link that isn't down; the handler is called once, later.
     * @return The call's id; invalid if the call can't be taken, and then the handler isn't called.
     */
    call_id call(link_call call, link_reply_handler handler);

    /** Asks the gate to give a call up; the reply still comes. */
    void cancel(call_id call);

    /** Drops the interest in a call's reply. */
    void forget(call_id call);

    /** Asks for a configuration newer than this version. */
    void askConfiguration(std::uint64_t newerThan);

    /** Tells a host that knows nothing yet what this one knows. */
    void introduce(configuration_offer configuration, host_introduction hosts);

    /** Probes, and notices silence; called a few times a second. */
    void tick(clock_ms now);

    link_health health() const;
    const std::string &address() const;

    /** Closes; calls that are open end as unknown or not run. */
    void stop();

private:
    struct open_call {
        std::uint64_t number = 0; ///< Of its message on the stream.
        link_reply_handler handler;
    };

    void connect();
    void connected(boost::asio::ip::tcp::socket socket);
    void received(link_message message);
    void broken(std::string_view why);
    void scheduleConnect();

    boost::asio::io_context &m_context;
    std::string m_address;
    host_link_settings m_settings;
    host_link_hooks m_hooks;
    boost::asio::steady_timer m_timer; ///< Bounds a connection attempt, or waits for the next.
    std::shared_ptr<link_stream> m_stream; ///< Null while down.
    std::map<std::uint64_t, open_call> m_calls; ///< By id.
    std::uint64_t m_lastId = 0;
    std::optional<clock_ms> m_awaitedSince; ///< Oldest moment from which something is awaited and nothing has come.
    clock_ms m_probedAt;
    clock_ms m_backoff;
    bool m_stopped = false;
};

} // namespace cicadamux
