/** @file backend_standin_type.h Settings, faults and counters of the backend server's stand-in. */

#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cicadamux::test
{

/** One call that an operation makes. */
struct next_call {
    std::string service;
    std::string operation;
};

struct backend_settings {
    std::string localAddress; ///< The daemon's `local` listener; empty: no daemon.
    std::string service;
    std::uint32_t slots = 50; ///< Pieces of work at a time; further ones queue without bound.
    std::uint32_t connections = 400;
    double serviceMs = 10; ///< Mean of the own work; spread evenly from half to one and a half of it.
    clock_ms coldFor; ///< Time after the start in which the own work takes coldFactor as long.
    bool honoursDeadline = false; ///< Drops queued work whose cicadamux-deadline-ms has passed.
    std::uint32_t retries = 0; ///< Further attempts of each of its own calls.
    clock_ms callTimeout{1'000}; ///< For one attempt.
    std::map<std::string, std::vector<next_call>> calls; ///< By operation; made one after the other.
    std::map<std::string, std::vector<std::string>> direct; ///< Addresses by service, to call them without a daemon.
};

/** What the stand-in can be told to do wrong. */
enum class backend_fault : std::uint8_t {
    slow, ///< Own work takes `factor` times as long.
    fail, ///< Answers 500 after the work.
    shed, ///< Answers with cicadamux-shed before the work.
    half_answer, ///< Sends half of the answer's bytes and closes.
    double_answer, ///< Sends the answer twice in one packet.
    late_answer, ///< Answers `delay_ms` after the work.
    no_answer, ///< Closes after the work without an answer.
    wrong_length, ///< States a length that it doesn't send, and closes.
    count ///< Number of faults; names none.
};

constexpr std::array<const char *, static_cast<std::size_t>(backend_fault::count)> backendFaultNames{
    "slow", "fail", "shed", "half_answer", "double_answer", "late_answer", "no_answer", "wrong_length"};

/** One fault in force. */
struct fault_state {
    double ratio = 0; ///< Part of the requests that it hits.
    std::int64_t count = 0; ///< Requests that it may still hit.
    double factor = 1; ///< For `slow`.
    clock_ms delay; ///< For `late_answer`.
    clock_ms until; ///< Instant at which it ends.
};

using backend_faults = std::array<fault_state, static_cast<std::size_t>(backend_fault::count)>;

struct backend_counters {
    std::uint64_t received = 0; ///< Requests for work.
    std::uint64_t runs = 0; ///< Pieces of work begun.
    std::uint64_t answered = 0; ///< Whole answers with status 200.
    std::uint64_t failed = 0; ///< Answers with an error.
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0; ///< Dropped from the queue by their deadline.
    std::uint64_t callsMade = 0; ///< Attempts at next services.
    std::uint64_t callsRetried = 0; ///< Those that weren't the first.
    std::uint64_t callsNotRun = 0; ///< Attempts that ended as not-run.
    std::uint64_t callsUnknown = 0; ///< Attempts that ended as unknown, or without an answer.
    std::uint64_t wrongAnswers = 0; ///< Answers to its own calls that were another call's.
    std::uint32_t maxConcurrency = 0;
    std::map<std::string, std::uint64_t> runsByOperation;
    std::map<std::string, std::unordered_map<std::string, std::uint32_t>> runsById; ///< By operation, by the request's id; bounded by maxIds.
};

constexpr std::size_t maxIds = 500'000; ///< Request ids remembered for each operation.

} // namespace cicadamux::test
