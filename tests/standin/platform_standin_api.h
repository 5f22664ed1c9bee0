/** @file platform_standin_api.h The object API of the platform stand-in, with fault injection. */

#pragma once

#include "standin/platform_standin_store.h"
#include "support/http_server_base.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <list>
#include <memory>

namespace cicadamux::test
{

/** The active faults. The command `clear` ends all of them; those with a point in time also expire. */
struct platform_faults {
    clock_ms downUntil; ///< Until then, requests are closed without an answer.
    clock_ms slowUntil;
    clock_ms delay; ///< Before each answer until slowUntil.
    std::uint32_t lostWriteAnswers = 0; ///< Number of further writes that take effect, but whose connection is closed without an answer.
    std::uint32_t duplicateAnswers = 0; ///< Number of further answers that are sent twice.
    std::uint32_t lateAnswers = 0; ///< Number of further answers that are delayed.
    clock_ms lateDelay; ///< Delay of late answers.
    std::optional<platform_store> staleCopy; ///< Reads are answered from this copy instead of the store.
};

/** Counts of the requests received so far. */
struct platform_counters {
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0; ///< Watch requests received.
    std::uint64_t writes = 0; ///< Conditional writes and deletions, successful or not.
    std::uint64_t conflicts = 0;
    std::uint64_t closed = 0; ///< Requests closed while down.
    std::uint64_t maxPerSecond = 0; ///< Highest number of calls within one second.
};

/**
 * Implements the object API of docs/INTERFACE.md and, at /control, the interface for tests: `POST /control` with
 * {"fault": NAME, ...} sets a fault, `GET /control` returns the counters. Used on one thread only.
 *
 * Faults: down {for_ms}, slow {delay_ms, for_ms}, lost_write_answers {count}, stale_reads, close_watches,
 * duplicate_answers {count}, late_answers {count, delay_ms}, save, restore (the last saved state of the store), clear.
 */
class platform_api
{
public:
    explicit platform_api(boost::asio::io_context &context);

    void handle(const std::shared_ptr<http_exchange> &exchange);

private:
    struct waiting_watch {
        std::shared_ptr<http_exchange> exchange;
        std::string kind;
        std::uint64_t cursor = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handleControl(const std::shared_ptr<http_exchange> &exchange);
    void applyFault(const boost::json::object &command);
    void handleRead(const std::shared_ptr<http_exchange> &exchange, const std::string &kind, const std::string &name);
    void handleWrite(const std::shared_ptr<http_exchange> &exchange, const std::string &kind, const std::string &name);
    void handleWatch(const std::shared_ptr<http_exchange> &exchange, const std::string &kind, std::uint64_t cursor, clock_ms wait);
    void endWatch(std::list<waiting_watch>::iterator watch);
    void wakeWatches();
    void closeWatches();
    void respond(const std::shared_ptr<http_exchange> &exchange, unsigned status, const boost::json::object &body);
    void send(const std::shared_ptr<http_exchange> &exchange, const http_message &answer);
    void countCall();
    const platform_store &readStore() const;
    boost::json::object counters() const;

    boost::asio::io_context &m_context;
    platform_store m_store;
    std::optional<platform_store> m_saved; ///< For `restore`.
    platform_faults m_faults;
    platform_counters m_counters;
    std::list<waiting_watch> m_watches;
    clock_ms m_second; ///< Start of the interval of one second in which m_callsInSecond is counted.
    std::uint64_t m_callsInSecond = 0;
};

} // namespace cicadamux::test
