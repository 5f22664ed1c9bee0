/** @file backend_standin_worker.h Request processing of the backend stand-in: slots, a queue, service time and outgoing calls. */

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

/** Processes up to `slots` requests concurrently; the others wait in a FIFO queue. Used on one thread only. */
class backend_worker
{
public:
    backend_worker(boost::asio::io_context &context, const backend_settings &settings);

    /** Queues a request for processing. */
    void submit(const std::shared_ptr<http_exchange> &exchange);

    /** Cancels the processing of a call; answers the cancel request once processing has ended. */
    void cancel(const std::shared_ptr<http_exchange> &exchange);

    /** @return The number of slots in use. */
    std::uint32_t inUse() const;

    /** @return The number of running and queued requests. */
    std::size_t unfinished() const;

    const backend_counters &counters() const;

    /** Activates a fault, or replaces its parameters. */
    void setFault(backend_fault which, const fault_state &fault);

    void clearFaults();

private:
    struct work_item;
    using work_item_pointer = std::shared_ptr<work_item>;

    void startNext();
    void run(const work_item_pointer &item);
    void makeNextCall(const work_item_pointer &item);
    void finish(const work_item_pointer &item, bool ok);
    void respond(const work_item_pointer &item, bool ok);
    void release(const work_item_pointer &item);
    void acknowledgeCancel(const work_item_pointer &item);
    void answerError(const work_item_pointer &item, std::string_view problem);
    /** @return Whether the fault affects the present request, which then counts against the fault's count. */
    bool shouldInject(backend_fault which);

    const fault_state &fault(backend_fault which) const;
    std::chrono::microseconds serviceTime();

    boost::asio::io_context &m_context;
    const backend_settings &m_settings;
    backend_counters m_counters;
    backend_caller m_caller;
    backend_faults m_faults{};
    std::mt19937_64 m_random{std::random_device{}()};
    std::deque<work_item_pointer> m_queue;
    std::unordered_map<std::string, work_item_pointer> m_byCall; ///< Unfinished requests by their header cicadamux-call.
    std::uint32_t m_inUse = 0;
    clock_ms m_started = steadyNow();
};

} // namespace cicadamux::test
