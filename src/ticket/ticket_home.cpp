/** @file ticket_home.cpp The states of the tickets issued for this incarnation of this daemon. */

#include "ticket/ticket_home_base.h"

#include "core/invariant_func.h"
#include "ticket/ticket_memory_base.h"

#include <algorithm>
#include <utility>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxWaiters = 16; ///< Repeats that wait at the same time for the outcome of one ticket.
constexpr clock_ms maxCloseAhead{2 * ticketLifetime}; ///< Tickets that expire later than this are not closed by expiry when the memory is full.

using detail::ticket_key;
using detail::ticket_phase;
using detail::ticket_record;
using detail::ticket_shard;
using shared_result = std::shared_ptr<const call_result>;

ticket_begin makeRefusal(outcome_reason reason)
{
    return {ticket_verdict::refuse, reason, nullptr};
}

void notifyWaiters(const std::vector<ticket_waiter> &waiters, const shared_result &result)
{
    for (const ticket_waiter &waiter : waiters) {
        if (waiter) {
            waiter(result);
        }
    }
}

/** @return Whether a ticket without a record is known never to have been run by this incarnation. */
bool isKnownUnused(const ticket_shard &shard, const ticket &subject)
{
    return subject.expiry > shard.evictedUpTo;
}

bool isOver(const ticket_shard &shard, const ticket &subject, clock_ms wallNow)
{
    return subject.expiry <= wallNow || subject.expiry <= shard.closedUpTo;
}

/** Permanently closes a ticket without a record, by raising the mark of closed expiries. */
void closeByExpiry(ticket_shard &shard, const ticket &subject)
{
    shard.closedUpTo = std::max(shard.closedUpTo, subject.expiry);
}

/**
 * Closes a ticket for which no record can be added, and with it all tickets of the shard that have no record and expire earlier.
 * @return False if the expiry is so far ahead that this would close tickets that are yet to be issued.
 */
bool closeWithoutRecord(ticket_shard &shard, const ticket &subject, clock_ms wallNow)
{
    if (subject.expiry > wallNow + maxCloseAhead) {
        return false;
    }
    closeByExpiry(shard, subject);
    return true;
}
} // namespace

struct ticket_home::state {
    std::string host;
    incarnation_id incarnation;
    detail::ticket_memory memory;

    state(std::string homeHost, incarnation_id homeIncarnation, std::size_t capacity)
        : host(std::move(homeHost))
        , incarnation(homeIncarnation)
        , memory(capacity)
    {
    }

    bool isHomeOf(const ticket &subject) const
    {
        return subject.homeHost == host && subject.homeIncarnation == incarnation;
    }

    ticket_begin beginNew(ticket_shard &shard, const ticket &subject, clock_ms wallNow)
    {
        if (!isKnownUnused(shard, subject)) {
            return makeRefusal(outcome_reason::ticket_home_gone);
        }
        if (isOver(shard, subject, wallNow)) {
            closeByExpiry(shard, subject);
            return makeRefusal(outcome_reason::ticket_expired);
        }
        if (memory.addRecord(shard, detail::keyOf(subject), subject.expiry) == nullptr) {
            const bool isClosed = closeWithoutRecord(shard, subject, wallNow);
            return makeRefusal(isClosed ? outcome_reason::daemon_busy : outcome_reason::ticket_home_gone);
        }
        return {ticket_verdict::run, outcome_reason::none, nullptr};
    }

    static ticket_begin beginIdle(ticket_record &record, clock_ms wallNow)
    {
        if (record.closed || record.expiry <= wallNow) {
            record.closed = true;
            return makeRefusal(outcome_reason::ticket_expired);
        }
        record.phase = ticket_phase::running;
        return {ticket_verdict::run, outcome_reason::none, nullptr};
    }

    static ticket_begin beginRunning(ticket_record &record, ticket_waiter waiter)
    {
        if (record.waiters.size() >= maxWaiters) {
            return makeRefusal(outcome_reason::answer_timeout);
        }
        record.waiters.push_back(std::move(waiter));
        return {ticket_verdict::wait, outcome_reason::none, nullptr};
    }

    /** Releases a ticket held by a call that was not sent. @return The waiting repeats. */
    std::vector<ticket_waiter> release(const ticket &subject, bool isClosed)
    {
        const ticket_key key = detail::keyOf(subject);
        ticket_shard &shard = memory.shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.records.find(key);
        if (found == shard.records.end() || found->second.phase != ticket_phase::running) {
            return {};
        }
        ticket_record &record = found->second;
        record.phase = ticket_phase::idle;
        record.closed = record.closed || isClosed;
        record.runs -= record.sent ? 1 : 0;
        record.sent = false;
        return std::exchange(record.waiters, {});
    }

    bool voidNew(ticket_shard &shard, const ticket &subject, clock_ms wallNow)
    {
        if (!isKnownUnused(shard, subject)) {
            return false;
        }
        if (isOver(shard, subject, wallNow)) {
            closeByExpiry(shard, subject);
            return true;
        }
        ticket_record *record = memory.addRecord(shard, detail::keyOf(subject), subject.expiry);
        if (record == nullptr) {
            return closeWithoutRecord(shard, subject, wallNow);
        }
        record->phase = ticket_phase::idle;
        record->closed = true;
        return true;
    }

    static bool voidRecord(ticket_record &record)
    {
        if (record.phase == ticket_phase::ended) {
            return record.closed || record.result->outcome == call_outcome::not_run;
        }
        if (record.phase == ticket_phase::running && record.sent) {
            return false;
        }
        record.closed = true;
        return true;
    }
};

ticket_home::ticket_home(std::string host, incarnation_id incarnation, std::size_t capacity)
    : m_state(std::make_unique<state>(std::move(host), incarnation, capacity))
{
}

ticket_home::~ticket_home() = default;

ticket_begin ticket_home::begin(const ticket &subject, clock_ms wallNow, ticket_waiter waiter)
{
    if (!m_state->isHomeOf(subject)) {
        return makeRefusal(outcome_reason::ticket_home_gone);
    }
    const ticket_key key = detail::keyOf(subject);
    ticket_shard &shard = m_state->memory.shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) {
        return m_state->beginNew(shard, subject, wallNow);
    }
    ticket_record &record = found->second;
    if (record.phase == ticket_phase::ended) {
        return {ticket_verdict::repeat, outcome_reason::none, record.result};
    }
    if (record.phase == ticket_phase::running) {
        return state::beginRunning(record, std::move(waiter));
    }
    return state::beginIdle(record, wallNow);
}

bool ticket_home::confirmSend(const ticket &subject, clock_ms wallNow)
{
    if (!m_state->isHomeOf(subject)) {
        return false;
    }
    const ticket_key key = detail::keyOf(subject);
    ticket_shard &shard = m_state->memory.shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end() || found->second.phase != ticket_phase::running || found->second.sent) {
        return false;
    }
    ticket_record &record = found->second;
    const bool wasClosed = record.closed;
    record.closed = record.closed || record.expiry <= wallNow;
    if (record.closed) {
        return false;
    }
    record.sent = true;
    ++record.runs;
    checkInvariant(record.runs == 1, invariant::at_most_once, "two calls with the same ticket were sent");
    checkInvariant(!wasClosed, invariant::not_run_truth, "the call of a closed ticket was sent");
    return true;
}

void ticket_home::finish(const ticket &subject, std::shared_ptr<const call_result> result)
{
    const ticket_key key = detail::keyOf(subject);
    ticket_shard &shard = m_state->memory.shardOf(key);
    std::vector<ticket_waiter> waiters;
    {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.records.find(key);
        if (found == shard.records.end() || found->second.phase != ticket_phase::running) {
            return;
        }
        ticket_record &record = found->second;
        record.phase = ticket_phase::ended;
        m_state->memory.storeResult(record, subject, m_state->host, result);
        waiters.swap(record.waiters);
        result = result ? result : record.result;
    }
    notifyWaiters(waiters, result);
}

void ticket_home::notRun(const ticket &subject, std::shared_ptr<const call_result> result)
{
    const shared_result outcome = std::move(result);
    notifyWaiters(m_state->release(subject, false), outcome);
}

void ticket_home::refuse(const ticket &subject, std::shared_ptr<const call_result> result)
{
    const shared_result outcome = std::move(result);
    notifyWaiters(m_state->release(subject, true), outcome);
}

bool ticket_home::voidTicket(const ticket &subject, clock_ms wallNow)
{
    if (!m_state->isHomeOf(subject)) {
        return false;
    }
    const ticket_key key = detail::keyOf(subject);
    ticket_shard &shard = m_state->memory.shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) {
        return m_state->voidNew(shard, subject, wallNow);
    }
    return state::voidRecord(found->second);
}

void ticket_home::tick(clock_ms wallNow)
{
    m_state->memory.evictAllExpired(wallNow);
}

} // namespace cicadamux
