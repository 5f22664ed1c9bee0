/** @file backend_standin_worker.h The work of a backend server: slots, a queue, service time, its own calls. */

#pragma once

#include "standin/backend_standin_caller.h"
#include "standin/backend_standin_type.h"
#include "support/http_server_base.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

namespace cicadamux::test
{

/** Runs requests: at most `slots` at a time, the others wait in the order of arrival. Single-threaded. */
class backend_worker
{
public:
    backend_worker(boost::asio::io_context &context, const backend_settings &settings);

    /** Takes a request for work. */
    void submit(const std::shared_ptr<http_exchange> &exchange);

    /** Ends the work for a call, and answers the request to cancel it once it is over. */
    void cancel(const std::shared_ptr<http_exchange> &exchange);

    /** @return Slots in use. */
    std::uint32_t inUse() const;

    /** @return Pieces of work that run or wait. */
    std::size_t unfinished() const;

    const backend_counters &counters() const;

    /** Puts one fault in force. */
    void setFault(backend_fault which, const fault_state &fault);

    void clearFaults();

private:
    struct work;
    using work_pointer = std::shared_ptr<work>;

    void startNext();
    void run(const work_pointer &item);
    void makeNextCall(const work_pointer &item);
    void finish(const work_pointer &item, bool ok);
    void respond(const work_pointer &item, bool ok);
    void release(const work_pointer &item);
    void acknowledgeCancel(const work_pointer &item);
    void answerError(const work_pointer &item, std::string_view problem);
    bool hits(backend_fault which);
    const fault_state &fault(backend_fault which) const;
    std::chrono::microseconds serviceTime();

    boost::asio::io_context &m_context;
    const backend_settings &m_settings;
    backend_counters m_counters;
    backend_caller m_caller;
    backend_faults m_faults{};
    std::mt19937_64 m_random{std::random_device{}()};
    std::deque<work_pointer> m_queue;
    std::unordered_map<std::string, work_pointer> m_byCall; ///< Unfinished work by its cicadamux-call.
    std::uint32_t m_inUse = 0;
    clock_ms m_started = steadyNow();
};

} // namespace cicadamux::test
