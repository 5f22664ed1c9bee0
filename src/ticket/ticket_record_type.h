/** @file ticket_record_type.h What a home remembers of one ticket. Private to ticket_home. */

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

/** Identity of a ticket at its home: the nonce, and a hash over all other fields. */
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

/** Where a ticket stands. An unseen ticket has no record. */
enum class ticket_phase : std::uint8_t {
    idle, ///< Its last call surely didn't run; it may be used again.
    running, ///< A call holds it, sent or not.
    ended ///< Its call was sent and is over.
};

struct ticket_record {
    clock_ms expiry; ///< Of the ticket.
    ticket_phase phase = ticket_phase::running;
    bool closed = false; ///< Voided, refused or expired: no call may be sent any more.
    bool sent = false; ///< The call that holds it was let through by confirmSend().
    std::uint32_t runs = 0; ///< Calls let through, less those that turned out not to be sent.
    std::size_t keptBytes = 0; ///< Size of `result`.
    std::shared_ptr<const call_result> result; ///< Outcome, once ended.
    std::vector<ticket_waiter> waiters; ///< Repeats that wait for the outcome.
};

/** When to decide whether a record may be forgotten. */
struct record_due {
    clock_ms due;
    ticket_key key;

    bool operator>(const record_due &other) const
    {
        return due > other.due;
    }
};

/**
 * A part of a home's memory under one lock.
 * The two marks decide about tickets without a record, whatever the clock shows: one at or below `forgottenUpTo` may have run,
 * any other that is at or below `closedUpTo` has surely not run and never will.
 */
struct ticket_shard {
    std::mutex mutex;
    std::unordered_map<ticket_key, ticket_record, ticket_key_hash> records;
    std::priority_queue<record_due, std::vector<record_due>, std::greater<>> dues; ///< One for each record.
    clock_ms forgottenUpTo{INT64_MIN}; ///< Latest expiry of a forgotten record.
    clock_ms closedUpTo{INT64_MIN}; ///< Latest expiry of a ticket that was refused without a record, or forgotten without having run.
};

} // namespace cicadamux::detail
