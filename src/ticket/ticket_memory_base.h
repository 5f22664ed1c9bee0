/** @file ticket_memory_base.h The bounded memory behind a ticket home: records, outcomes and forgetting. Private to ticket_home. */

#pragma once

#include "ticket/ticket_record_type.h"

#include <array>
#include <atomic>
#include <optional>
#include <string>

namespace cicadamux::detail
{

/** @return The identity of a ticket at its home. */
ticket_key keyOf(const ticket &subject);

/** Records in shards, each under its own lock; the caller holds the lock of the shard that it passes in. */
class ticket_memory
{
public:
    /** @param capacity Most records, over all shards. */
    explicit ticket_memory(std::size_t capacity);

    ticket_shard &shardOf(const ticket_key &key);

    /** @return The new record, or nothing if the memory is full. */
    ticket_record *addRecord(ticket_shard &shard, const ticket_key &key, clock_ms expiry);

    /**
     * Keeps the outcome of a call, or that there was one if it is too large to keep.
     * @param host Named in the outcome that stands in for one that isn't kept.
     */
    void keepResult(ticket_record &record, const ticket &subject, const std::string &host, const std::shared_ptr<const call_result> &result);

    /** Forgets the records of a shard whose time has come. */
    void forgetDue(ticket_shard &shard, clock_ms wallNow);

    /** Forgets in all shards; takes their locks. */
    void forgetAllDue(clock_ms wallNow);

private:
    static constexpr std::size_t shardCount = 32; ///< Locks.

    bool reserveBytes(std::size_t bytes);

    std::size_t m_capacity;
    std::atomic<std::size_t> m_recordCount{0};
    std::atomic<std::size_t> m_keptBytes{0};
    std::array<ticket_shard, shardCount> m_shards;
};

} // namespace cicadamux::detail
