/** @file ticket_memory.cpp Records of tickets, kept for as long as a late repeat needs them. */

#include "ticket/ticket_memory_base.h"

#include <algorithm>
#include <utility>

namespace cicadamux::detail
{

namespace
{
constexpr clock_ms keptAfterExpiry{2 * ticketLifetime}; ///< How long outcomes outlive their ticket.
constexpr std::size_t maxResultBytes = 65'536; ///< Largest answer that is kept for repeats.
constexpr std::size_t maxKeptBytes = 33'554'432; ///< Of all kept answers together.

std::size_t sizeOf(const call_result &result)
{
    std::size_t bytes = result.body.size();
    for (const http_field &field : result.headers) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

/** Stands in for an outcome that isn't kept. Never `not run`. */
std::shared_ptr<const call_result> makeUnkept(const ticket &subject, const std::string &host)
{
    refusal_detail detail;
    detail.reason = outcome_reason::answer_broken;
    detail.service = subject.service;
    detail.operation = subject.operation;
    detail.host = host;
    return std::make_shared<const call_result>(makeRefused(std::move(detail), 0));
}

/**
 * Decides on a record whose time has come. One that never ran is forgotten at its expiry, since the expiry alone refuses it from then on;
 * an outcome is kept for longer, and a running call for as long as it runs.
 * @return When to ask again; nothing if the record may be forgotten.
 */
std::optional<clock_ms> stillNeededUntil(ticket_shard &shard, const ticket_record &record, clock_ms wallNow)
{
    if (record.phase == ticket_phase::running) {
        return wallNow + keptAfterExpiry;
    }
    if (record.phase == ticket_phase::idle) {
        shard.closedUpTo = std::max(shard.closedUpTo, record.expiry);
        return std::nullopt;
    }
    if (record.expiry + keptAfterExpiry > wallNow) {
        return record.expiry + keptAfterExpiry;
    }
    shard.forgottenUpTo = std::max(shard.forgottenUpTo, record.expiry);
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
    shard.dues.push({expiry, key});
    return &record;
}

bool ticket_memory::reserveBytes(std::size_t bytes)
{
    if (bytes > maxResultBytes) {
        return false;
    }
    if (m_keptBytes.fetch_add(bytes) + bytes > maxKeptBytes) {
        m_keptBytes.fetch_sub(bytes);
        return false;
    }
    return true;
}

void ticket_memory::keepResult(ticket_record &record, const ticket &subject, const std::string &host, const std::shared_ptr<const call_result> &result)
{
    const std::size_t bytes = result ? sizeOf(*result) : 0;
    if (!result || !reserveBytes(bytes)) {
        record.result = makeUnkept(subject, host);
        return;
    }
    record.keptBytes = bytes;
    record.result = result;
}

void ticket_memory::forgetDue(ticket_shard &shard, clock_ms wallNow)
{
    while (!shard.dues.empty() && shard.dues.top().due <= wallNow) {
        const ticket_key key = shard.dues.top().key;
        shard.dues.pop();
        const auto found = shard.records.find(key);
        if (const auto later = stillNeededUntil(shard, found->second, wallNow)) {
            shard.dues.push({*later, key});
            continue;
        }
        m_keptBytes.fetch_sub(found->second.keptBytes);
        m_recordCount.fetch_sub(1);
        shard.records.erase(found);
    }
}

void ticket_memory::forgetAllDue(clock_ms wallNow)
{
    for (ticket_shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        forgetDue(shard, wallNow);
    }
}

} // namespace cicadamux::detail
