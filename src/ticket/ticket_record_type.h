/** @file ticket_record_type.h The record of a ticket at its home. Private to ticket_home. */

#pragma once

#include "core/hash_func.h"
#include "request/call_type.h"
#include "ticket/ticket_home_base.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <unordered_map>
#include <vector>

namespace cicadamux::detail
{

/** Key of a ticket at its home: the nonce, and a hash over service, operation and expiry. */
struct ticket_key {
    std::uint64_t nonce = 0;
    std::uint64_t fields = 0;

    bool operator==(const ticket_key &) const = default;
};

struct ticket_key_hash {
    std::size_t operator()(const ticket_key &key) const
    {
        return hashNumber(key.nonce, key.fields);
    }
};

/** State of a ticket with a record. A ticket has no record before its first use or after eviction. */
enum class ticket_phase : std::uint8_t {
    idle, ///< Its last call is known not to have run; it may be used again unless it is closed.
    running, ///< A call uses it, whether already sent or not.
    ended ///< Its call was sent and has ended.
};

struct ticket_record {
    clock_ms expiry; ///< Of the ticket.
    ticket_phase phase = ticket_phase::running;
    bool closed = false; ///< Voided, refused or expired; no further call may be sent.
    bool sent = false; ///< confirmSend() has allowed the current call to be sent.
    std::uint32_t runs = 0; ///< Calls allowed by confirmSend(), minus those that turned out not to have run.
    std::size_t resultBytes = 0; ///< Size of `result`.
    std::shared_ptr<const call_result> result; ///< The outcome, in phase `ended`.
    std::vector<ticket_waiter> waiters; ///< Repeats that wait for the outcome.
};

/** When to check whether a record may be evicted. */
struct eviction_check {
    clock_ms due;
    ticket_key key;

    bool operator>(const eviction_check &other) const
    {
        return due > other.due;
    }
};

/**
 * A part of the memory with its own lock.
 * The two watermarks decide about tickets without a record, independent of the clock: a ticket that expires at or before `evictedUpTo` may have run;
 * any other that expires at or before `closedUpTo` has not run and can no longer run.
 */
struct ticket_shard {
    std::mutex mutex;
    std::unordered_map<ticket_key, ticket_record, ticket_key_hash> records;
    std::priority_queue<eviction_check, std::vector<eviction_check>, std::greater<>> evictionChecks; ///< One entry per record.
    clock_ms evictedUpTo{INT64_MIN}; ///< Latest expiry of an evicted record whose call may have run.
    clock_ms closedUpTo{INT64_MIN}; ///< Latest expiry of a ticket that was refused without a record, or evicted without having run.
};

} // namespace cicadamux::detail
