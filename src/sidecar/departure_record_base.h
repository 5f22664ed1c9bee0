/** @file departure_record_base.h Keeps in the store which incarnation of the backend server has left, for a restart of this sidecar. */

#pragma once

#include "core/clock_type.h"
#include "store/store_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cicadamux
{

/** An incarnation of a backend server that drains or has left. */
struct departed_server {
    std::string id;
    std::optional<clock_ms> startedAt; ///< Unix time by the server's own clock; nothing if it isn't known: then all of the id's incarnations.

    bool operator==(const departed_server &) const = default;
};

/** Writes it as the JSON content of a store object. */
std::string formatDepartedServer(const departed_server &server);

/** Parses the output of formatDepartedServer(); nothing for any other text. */
std::optional<departed_server> parseDepartedServer(const std::string &json);

/**
 * A sidecar that restarts knows nothing of the backend server beside it, and a late heartbeat of a server that has left
 * looks like that of a new one. Used by one thread.
 */
class departure_record : public std::enable_shared_from_this<departure_record>
{
public:
    using restored_hook = std::function<void(const departed_server &server)>;

    /** @param restored Called if the store holds a departure that was recorded before this process started. */
    departure_record(boost::asio::io_context &context, object_store &store, std::string host, restored_hook restored);

    /** Reads the record unless that has begun; repeats while the store is unavailable. */
    void start();

    /**
     * Records a departure; repeats in the background while the store is unavailable.
     * @param done Called once: when it is stored, or after a short time without that.
     */
    void record(departed_server server, std::function<void()> done);

    /** Records the last departure again, after the store has come back from a copy that may lack it. */
    void repeat();

    /** Removes the record, when this host leaves and its server has ended. */
    void remove();

    void stop();

private:
    void read();
    void handleRead(const store_result<stored_object> &result);
    void write();
    void handleWritten(const store_result<std::uint64_t> &result);
    void retryLater(void (departure_record::*operation)());
    void finishWaiting();

    object_store &m_store;
    std::string m_host;
    restored_hook m_restored;
    std::optional<departed_server> m_server; ///< The departure to be stored, or already stored.
    std::uint64_t m_version = 0; ///< Of the object in the store; 0 if there is none.
    std::uint64_t m_round = 0; ///< Incremented by repeat(); a write from an earlier round proves nothing.
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isStored = false;
    bool m_isStopped = false;
    std::function<void()> m_done; ///< Waits until the departure is stored.
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_waitTimer;
};

} // namespace cicadamux
