/** @file ticket_memory.cpp Records of tickets, kept as long as a late repeat may need them. */

#include "ticket/ticket_memory_base.h"

#include <algorithm>
#include <utility>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms retentionAfterExpiry{2 * ticketLifetime}; ///< How long outcomes are kept after the expiry of their ticket.
constexpr std::size_t maxResultBytes = 65'536; ///< Size limit of an answer kept for repeats.
constexpr std::size_t maxTotalResultBytes = 33'554'432; ///< Size limit of all kept answers together.

std::size_t sizeOf(const call_result &result)
{
    std::size_t bytes = result.body.size();
    for (const http_field &field : result.headers) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

/** @return The outcome given to repeats if the actual one is missing or could not be kept. Never `not run`. */
std::shared_ptr<const call_result> makeDiscardedResult(const ticket &subject, const std::string &host)
{
    refusal_detail detail;
    detail.reason = outcome_reason::answer_broken;
    detail.service = subject.service;
    detail.operation = subject.operation;
    detail.host = host;
    return std::make_shared<const call_result>(makeRefused(std::move(detail), 0));
}

/**
 * Decides whether a record that is due may be evicted. A ticket that never ran is evicted at its expiry, because from then on it is refused as expired;
 * an outcome is kept for longer, and a running call as long as it runs.
 * @return When to check again; nothing if the record may be evicted.
 */
std::optional<clock_ms> retainUntil(ticket_shard &shard, const ticket_record &record, clock_ms wallNow)
{
    if (record.phase == ticket_phase::running) {
        return wallNow + retentionAfterExpiry;
    }
    if (record.phase == ticket_phase::idle) {
        shard.closedUpTo = std::max(shard.closedUpTo, record.expiry);
        return std::nullopt;
    }
    if (record.expiry + retentionAfterExpiry > wallNow) {
        return record.expiry + retentionAfterExpiry;
    }
    shard.evictedUpTo = std::max(shard.evictedUpTo, record.expiry);
    return std::nullopt;
}
} // namespace

ticket_key keyOf(const ticket &subject)
{
    const std::uint64_t service = hashBytes(subject.service, subject.service.size());
    const std::uint64_t operation = hashBytes(subject.operation, service);
    return {subject.nonce, hashNumber(static_cast<std::uint64_t>(subject.expiry.count), operation)};
}

ticket_memory::ticket_memory(std::size_t capacity)
    : m_capacity(capacity)
{
}

ticket_shard &ticket_memory::shardOf(const ticket_key &key)
{
    return m_shards.at(ticket_key_hash{}(key) % shardCount);
}

ticket_record *ticket_memory::addRecord(ticket_shard &shard, const ticket_key &key, clock_ms expiry)
{
    if (m_recordCount.fetch_add(1) >= m_capacity) {
        m_recordCount.fetch_sub(1);
        return nullptr;
    }
    ticket_record &record = shard.records[key];
    record.expiry = expiry;
    shard.evictionChecks.push({expiry, key});
    return &record;
}

bool ticket_memory::reserveBytes(std::size_t bytes)
{
    if (bytes > maxResultBytes) {
        return false;
    }
    if (m_totalResultBytes.fetch_add(bytes) + bytes > maxTotalResultBytes) {
        m_totalResultBytes.fetch_sub(bytes);
        return false;
    }
    return true;
}

void ticket_memory::storeResult(ticket_record &record, const ticket &subject, const std::string &host, const std::shared_ptr<const call_result> &result)
{
    const std::size_t bytes = result ? sizeOf(*result) : 0;
    if (!result || !reserveBytes(bytes)) {
        record.result = makeDiscardedResult(subject, host);
        return;
    }
    record.resultBytes = bytes;
    record.result = result;
}

void ticket_memory::evictExpired(ticket_shard &shard, clock_ms wallNow)
{
    while (!shard.evictionChecks.empty() && shard.evictionChecks.top().due <= wallNow) {
        const ticket_key key = shard.evictionChecks.top().key;
        shard.evictionChecks.pop();
        const auto found = shard.records.find(key);
        if (const auto nextCheck = retainUntil(shard, found->second, wallNow)) {
            shard.evictionChecks.push({*nextCheck, key});
            continue;
        }
        m_totalResultBytes.fetch_sub(found->second.resultBytes);
        m_recordCount.fetch_sub(1);
        shard.records.erase(found);
    }
}

void ticket_memory::evictAllExpired(clock_ms wallNow)
{
    for (ticket_shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        evictExpired(shard, wallNow);
    }
}

} // namespace cicadamux::detail
