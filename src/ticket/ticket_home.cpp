/** @file ticket_home.cpp The states of the tickets that name this life of this daemon. */

#include "ticket/ticket_home_base.h"

#include "core/invariant_func.h"
#include "ticket/ticket_record_type.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>

namespace cicadamux {

namespace {
constexpr std::size_t shardCount = 32; ///< Locks.
constexpr clock_ms keptAfterExpiry{ 2 * ticketLifetime }; ///< How long records outlive their ticket.
constexpr std::size_t maxWaiters = 16; ///< Repeats of one ticket that wait at a time.
constexpr std::size_t maxResultBytes = 65'536; ///< Largest answer that is kept for repeats.
constexpr std::size_t maxKeptBytes = 33'554'432; ///< Of all kept answers together.

using detail::ticket_key;
using detail::ticket_phase;
using detail::ticket_record;
using detail::ticket_shard;
using shared_result = std::shared_ptr<const call_result>;

ticket_key keyOf(const ticket &subject)
{
    const std::uint64_t service = hashBytes(subject.service, subject.service.size());
    const std::uint64_t operation = hashBytes(subject.operation, service);
    return { subject.nonce, hashNumber(static_cast<std::uint64_t>(subject.expiry.count), operation) };
}

std::size_t sizeOf(const call_result &result)
{
    std::size_t bytes = result.body.size();
    for (const http_field &field : result.headers) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

ticket_begin makeRefusal(outcome_reason reason)
{
    return { ticket_verdict::refuse, reason, nullptr };
}

void tellWaiters(const std::vector<ticket_waiter> &waiters, const shared_result &result)
{
    for (const ticket_waiter &waiter : waiters) {
        if (waiter) {
            waiter(result);
        }
    }
}

/** @return Whether a ticket without a record was surely never run by this life. */
bool surelyUnseen(const ticket_shard &shard, const ticket &subject)
{
    return subject.expiry > shard.forgottenUpTo;
}

bool isOver(const ticket_shard &shard, const ticket &subject, clock_ms wallNow)
{
    return subject.expiry <= wallNow || subject.expiry <= shard.closedUpTo;
}

/** Closes a ticket without a record for good, by its expiry. */
void closeUnseen(ticket_shard &shard, const ticket &subject)
{
    shard.closedUpTo = std::max(shard.closedUpTo, subject.expiry);
}
} // namespace

struct ticket_home::state {
    std::string host;
    incarnation_id incarnation;
    std::size_t capacity; ///< Records, over all shards.
    std::atomic<std::size_t> recordCount{ 0 };
    std::atomic<std::size_t> keptBytes{ 0 };
    std::array<ticket_shard, shardCount> shards;

    bool isHomeOf(const ticket &subject) const
    {
        return subject.homeHost == host && subject.homeIncarnation == incarnation;
    }

    ticket_shard &shardOf(const ticket_key &key)
    {
        return shards.at(detail::ticket_key_hash{}(key) % shardCount);
    }

    /** @return The new record, or nothing if the memory is full. */
    ticket_record *addRecord(ticket_shard &shard, const ticket_key &key, clock_ms expiry)
    {
        if (recordCount.fetch_add(1) >= capacity) {
            recordCount.fetch_sub(1);
            return nullptr;
        }
        ticket_record &record = shard.records[key];
        record.expiry = expiry;
        shard.dues.push({ expiry + keptAfterExpiry, key });
        return &record;
    }

    ticket_begin beginUnseen(ticket_shard &shard, const ticket &subject, clock_ms wallNow)
    {
        if (!surelyUnseen(shard, subject)) {
            return makeRefusal(outcome_reason::ticket_home_gone);
        }
        if (isOver(shard, subject, wallNow)) {
            closeUnseen(shard, subject);
            return makeRefusal(outcome_reason::ticket_expired);
        }
        if (addRecord(shard, keyOf(subject), subject.expiry) == nullptr) {
            return makeRefusal(outcome_reason::daemon_busy);
        }
        return { ticket_verdict::run, outcome_reason::none, nullptr };
    }

    static ticket_begin beginIdle(ticket_record &record, clock_ms wallNow)
    {
        if (record.closed || record.expiry <= wallNow) {
            record.closed = true;
            return makeRefusal(outcome_reason::ticket_expired);
        }
        record.phase = ticket_phase::running;
        return { ticket_verdict::run, outcome_reason::none, nullptr };
    }

    static ticket_begin beginRunning(ticket_record &record, ticket_waiter waiter)
    {
        if (record.waiters.size() >= maxWaiters) {
            return makeRefusal(outcome_reason::answer_timeout);
        }
        record.waiters.push_back(std::move(waiter));
        return { ticket_verdict::wait, outcome_reason::none, nullptr };
    }

    /** Keeps the answer, or that there was one if it is too large to keep. */
    void keepResult(ticket_record &record, const ticket &subject, const shared_result &result)
    {
        const std::size_t bytes = result ? sizeOf(*result) : 0;
        const bool fits = bytes <= maxResultBytes && keptBytes.fetch_add(bytes) + bytes <= maxKeptBytes;
        if (result && fits) {
            record.keptBytes = bytes;
            record.result = result;
            return;
        }
        if (bytes <= maxResultBytes) {
            keptBytes.fetch_sub(bytes);
        }
        refusal_detail lost;
        lost.reason = outcome_reason::answer_broken;
        lost.service = subject.service;
        lost.operation = subject.operation;
        lost.host = host;
        record.result = std::make_shared<const call_result>(makeRefused(std::move(lost), 0));
    }

    void forgetDue(ticket_shard &shard, clock_ms wallNow)
    {
        while (!shard.dues.empty() && shard.dues.top().due <= wallNow) {
            const detail::record_due due = shard.dues.top();
            shard.dues.pop();
            const auto found = shard.records.find(due.key);
            if (found->second.phase == ticket_phase::running) {
                shard.dues.push({ wallNow + keptAfterExpiry, due.key });
                continue;
            }
            shard.forgottenUpTo = std::max(shard.forgottenUpTo, found->second.expiry);
            keptBytes.fetch_sub(found->second.keptBytes);
            recordCount.fetch_sub(1);
            shard.records.erase(found);
        }
    }

    bool voidUnseen(ticket_shard &shard, const ticket &subject, clock_ms wallNow)
    {
        if (!surelyUnseen(shard, subject)) {
            return false;
        }
        if (isOver(shard, subject, wallNow)) {
            closeUnseen(shard, subject);
            return true;
        }
        ticket_record *record = addRecord(shard, keyOf(subject), subject.expiry);
        if (record == nullptr) {
            return false;
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
    : m_state(std::make_unique<state>())
{
    m_state->host = std::move(host);
    m_state->incarnation = incarnation;
    m_state->capacity = capacity;
}

ticket_home::~ticket_home() = default;

ticket_begin ticket_home::begin(const ticket &subject, clock_ms wallNow, ticket_waiter waiter)
{
    if (!m_state->isHomeOf(subject)) {
        return makeRefusal(outcome_reason::ticket_home_gone);
    }
    const ticket_key key = keyOf(subject);
    ticket_shard &shard = m_state->shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) {
        return m_state->beginUnseen(shard, subject, wallNow);
    }
    ticket_record &record = found->second;
    if (record.phase == ticket_phase::ended) {
        return { ticket_verdict::repeat, outcome_reason::none, record.result };
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
    const ticket_key key = keyOf(subject);
    ticket_shard &shard = m_state->shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end() || found->second.phase != ticket_phase::running || found->second.sent) {
        return false;
    }
    ticket_record &record = found->second;
    const bool saidNotRun = record.closed;
    record.closed = record.closed || record.expiry <= wallNow;
    if (record.closed) {
        return false;
    }
    record.sent = true;
    ++record.runs;
    checkInvariant(record.runs == 1, invariant::at_most_once, "a ticket is sent a second time");
    checkInvariant(!saidNotRun, invariant::not_run_truth, "a voided ticket is sent");
    return true;
}

void ticket_home::finish(const ticket &subject, std::shared_ptr<const call_result> result)
{
    const ticket_key key = keyOf(subject);
    ticket_shard &shard = m_state->shardOf(key);
    std::vector<ticket_waiter> waiters;
    {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.records.find(key);
        if (found == shard.records.end() || found->second.phase != ticket_phase::running) {
            return;
        }
        ticket_record &record = found->second;
        record.phase = ticket_phase::ended;
        m_state->keepResult(record, subject, result);
        waiters.swap(record.waiters);
        result = result ? result : record.result;
    }
    tellWaiters(waiters, result);
}

void ticket_home::notRun(const ticket &subject, std::shared_ptr<const call_result> result)
{
    const ticket_key key = keyOf(subject);
    ticket_shard &shard = m_state->shardOf(key);
    std::vector<ticket_waiter> waiters;
    {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.records.find(key);
        if (found == shard.records.end() || found->second.phase != ticket_phase::running) {
            return;
        }
        ticket_record &record = found->second;
        record.phase = ticket_phase::idle;
        record.runs -= record.sent ? 1 : 0;
        record.sent = false;
        waiters.swap(record.waiters);
    }
    const shared_result told = std::move(result);
    tellWaiters(waiters, told);
}

bool ticket_home::voidTicket(const ticket &subject, clock_ms wallNow)
{
    if (!m_state->isHomeOf(subject)) {
        return false;
    }
    const ticket_key key = keyOf(subject);
    ticket_shard &shard = m_state->shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) {
        return m_state->voidUnseen(shard, subject, wallNow);
    }
    return state::voidRecord(found->second);
}

void ticket_home::tick(clock_ms wallNow)
{
    for (ticket_shard &shard : m_state->shards) {
        const std::lock_guard lock(shard.mutex);
        m_state->forgetDue(shard, wallNow);
    }
}

} // namespace cicadamux
