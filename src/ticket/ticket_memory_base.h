/** @file ticket_memory_base.h Bounded memory for the records and outcomes of tickets. Private to ticket_home. */

#pragma once

#include "ticket/ticket_record_type.h"

#include <array>
#include <atomic>
#include <optional>
#include <string>

namespace cicadamux::detail
{

/** @return The key of a ticket at its home. */
ticket_key keyOf(const ticket &subject);

/** Records in shards, each with its own lock. The caller must hold the lock of the shard that it passes. */
class ticket_memory
{
public:
    /** @param capacity Maximum number of records in all shards together. */
    explicit ticket_memory(std::size_t capacity);

    ticket_shard &shardOf(const ticket_key &key);

    /** @return The new record, or nothing if the memory is full. */
    ticket_record *addRecord(ticket_shard &shard, const ticket_key &key, clock_ms expiry);

    /**
     * Stores the outcome of a call. If it is null or too large to keep, a substitute with the outcome `unknown` is stored.
     * @param host Host stated in the substitute.
     */
    void storeResult(ticket_record &record, const ticket &subject, const std::string &host, const std::shared_ptr<const call_result> &result);

    /** Evicts the records of a shard that are due and no longer needed. */
    void evictExpired(ticket_shard &shard, clock_ms wallNow);

    /** Evicts such records in all shards; locks each of them. */
    void evictAllExpired(clock_ms wallNow);

private:
    static constexpr std::size_t shardCount = 32; ///< Number of locks.

    bool reserveBytes(std::size_t bytes);

    std::size_t m_capacity;
    std::atomic<std::size_t> m_recordCount{0};
    std::atomic<std::size_t> m_totalResultBytes{0};
    std::array<ticket_shard, shardCount> m_shards;
};

} // namespace cicadamux::detail
