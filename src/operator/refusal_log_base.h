/** @file refusal_log_base.h A daemon's bounded memory of the calls that it refused, for operators. */

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

constexpr std::size_t refusalSeconds = 900; ///< Seconds for which counts are kept.
constexpr std::size_t maxRefusalKeys = 4'096; ///< Different keys that are counted; others are counted under `other`.
constexpr std::size_t maxKeysPerSecond = 256; ///< Different keys of one second; others are counted under `other`.

/** One refusal, with what the daemon knew when it decided. */
struct refusal_record {
    clock_ms at; ///< Wall clock, milliseconds since the Unix epoch; set by the log.
    root_id root;
    std::string service;
    std::string operation;
    std::string callClass;
    rank_id rank; ///< Rank of the call.
    outcome_reason reason = outcome_reason::none;
    int rankAdmitted = noRankAdmitted; ///< Least urgent rank admitted then.
    std::uint32_t queueLength = 0; ///< Calls that waited at the gate.
    std::uint32_t limit = 0; ///< Concurrency limit of the gate; 0 if no gate decided.
    clock_ms waited; ///< Time the call had spent in the queue.
    std::string host; ///< Host of the daemon that decided.
    std::string dataCenter; ///< Data centre of that daemon.
};

/** What refusals are counted by. */
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

/** Counts over a span of time. */
struct refusal_summary {
    std::vector<refusal_count> counts; ///< In the order of the keys.
    clock_ms reach; ///< How much of the span the counts cover.
};

/** Refusals of one root. */
struct refusal_trace {
    std::vector<refusal_record> records; ///< The oldest first.
    clock_ms reach; ///< How far back the records reach, whether or not any is of this root.
};

/** Thread-safe and bounded: the oldest records and seconds make room for new ones. */
class refusal_log
{
public:
    /**
     * @param capacity Records kept, at least 1.
     * @param started Wall clock at the daemon's start.
     */
    refusal_log(std::size_t capacity, clock_ms started);
    ~refusal_log();
    refusal_log(const refusal_log &) = delete;
    refusal_log &operator=(const refusal_log &) = delete;

    /** Records a refusal. @param wallNow Wall clock; an instant before the last one counts as the last one. */
    void add(refusal_record record, clock_ms wallNow);

    /** Counts the refusals of the last `span`, of one service or, if empty, of all. Whole seconds. */
    refusal_summary summarize(std::string_view service, clock_ms span, clock_ms wallNow) const;

    /** Finds the records of a root. */
    refusal_trace trace(root_id root, clock_ms wallNow) const;

    /** @return The latest records, the newest first, at most `most`. */
    std::vector<refusal_record> latest(std::string_view service, std::size_t most) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
