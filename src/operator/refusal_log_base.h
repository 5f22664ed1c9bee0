/** @file refusal_log_base.h Bounded log of the calls that a daemon refused, for operators. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"
#include "request/outcome_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

constexpr std::size_t refusalSeconds = 900; ///< Seconds for which counts are stored.
constexpr std::size_t maxRefusalKeys = 4'096; ///< Distinct keys that are counted; further ones are counted under `other`.
constexpr std::size_t maxKeysPerSecond = 256; ///< Distinct keys that are counted in one second; further ones are counted under `other`.

/** One refusal, with the state on which the daemon based its decision. */
struct refusal_record {
    clock_ms at; ///< Wall clock, milliseconds since the Unix epoch; set by the log.
    root_id root;
    std::string service;
    std::string operation;
    std::string callClass;
    rank_id rank; ///< Rank of the call.
    outcome_reason reason = outcome_reason::none;
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted at that time.
    std::uint32_t queueLength = 0; ///< Calls waiting at the gate.
    std::uint32_t limit = 0; ///< Concurrency limit of the gate; 0 if the call wasn't refused by a gate.
    clock_ms waited; ///< Time the call had spent in the queue.
    std::string host; ///< Host of the daemon that decided.
    std::string dataCenter; ///< Data centre of that daemon.
};

/** Attributes by which refusals are counted. */
struct refusal_key {
    std::string service;
    rank_id rank;
    std::string callClass;
    outcome_reason reason = outcome_reason::none;

    auto operator<=>(const refusal_key &) const = default;
};

/** Refusals of one key. */
struct refusal_count {
    refusal_key key;
    std::uint64_t count = 0;
};

/** Numbers of refusals over a period of time. */
struct refusal_summary {
    std::vector<refusal_count> counts; ///< Sorted by key.
    clock_ms reach; ///< Length of the part of the period that the counts cover.
};

/** Recorded refusals of one root request. */
struct refusal_trace {
    std::vector<refusal_record> records; ///< Oldest first.
    clock_ms reach; ///< How far back the log reaches, also if none of its records is of this root.
};

/** Log of refusals. Thread-safe and bounded: new records and seconds overwrite the oldest ones. */
class refusal_log
{
public:
    /**
     * @param capacity Number of records that are stored, at least 1.
     * @param started Wall clock at the daemon's start.
     */
    refusal_log(std::size_t capacity, clock_ms started);
    ~refusal_log();
    refusal_log(const refusal_log &) = delete;
    refusal_log &operator=(const refusal_log &) = delete;

    /** Records a refusal. @param wallNow Wall clock; a time before that of the last call is replaced by the latter. */
    void add(refusal_record record, clock_ms wallNow);

    /** Counts the refusals of the last `span`, rounded up to whole seconds, of one service (empty: all). */
    refusal_summary summarize(std::string_view service, clock_ms span, clock_ms wallNow) const;

    /** Finds the records of a root request. */
    refusal_trace trace(root_id root, clock_ms wallNow) const;

    /** @return The latest records of one service (empty: all), newest first, at most `maxCount`. */
    std::vector<refusal_record> latest(std::string_view service, std::size_t maxCount) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
