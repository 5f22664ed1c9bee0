/** @file backend_standin_type.h Settings, faults and counters of the backend stand-in. */

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

/** The target of a call that an operation makes to another service. */
struct outgoing_call {
    std::string service;
    std::string operation;
};

struct backend_settings {
    std::string localAddress; ///< The daemon's `local` listener; empty: no daemon.
    std::string service;
    std::uint32_t slots = 50; ///< Requests processed concurrently; further ones wait in an unbounded queue.
    std::uint32_t connections = 400;
    double serviceMs = 10; ///< Mean processing time without outgoing calls; distributed uniformly between 0.5 and 1.5 times the mean.
    clock_ms coldFor; ///< Time after the start during which processing takes coldFactor times as long.
    bool honoursDeadline = false; ///< Drops queued requests whose cicadamux-deadline-ms has passed.
    std::uint32_t retries = 0; ///< Further attempts of each outgoing call.
    clock_ms callTimeout{1'000}; ///< For one attempt of an outgoing call.
    std::map<std::string, std::vector<outgoing_call>> calls; ///< Outgoing calls by operation, made one after the other.
    std::map<std::string, std::vector<std::string>> direct; ///< Backend addresses by service, for calls without a daemon.
};

/** The faults that a test can inject. */
enum class backend_fault : std::uint8_t {
    slow, ///< Processing takes `factor` times as long.
    fail, ///< Answers with status 500 after processing.
    shed, ///< Answers with cicadamux-shed without processing the request.
    half_answer, ///< Sends half of the answer's bytes and closes the connection.
    double_answer, ///< Sends the answer twice in one packet.
    late_answer, ///< Answers `delay_ms` after processing has ended.
    no_answer, ///< Closes the connection after processing, without an answer.
    wrong_length, ///< Sends less than the stated content-length and closes the connection.
    repeated_refusal, ///< Sends an answer like that of `shed` to an earlier call ahead of the answer.
    count ///< Number of faults; not a fault itself.
};

constexpr std::array<const char *, static_cast<std::size_t>(backend_fault::count)> backendFaultNames{
    "slow", "fail", "shed", "half_answer", "double_answer", "late_answer", "no_answer", "wrong_length", "repeated_refusal"};

/** An active fault. */
struct fault_state {
    double ratio = 0; ///< Fraction of the requests that it affects.
    std::int64_t count = 0; ///< Number of requests that it may still affect.
    double factor = 1; ///< For `slow`.
    clock_ms delay; ///< For `late_answer`.
    clock_ms until; ///< Instant at which it ends.
};

using backend_faults = std::array<fault_state, static_cast<std::size_t>(backend_fault::count)>;

struct backend_counters {
    std::uint64_t received = 0; ///< Requests received for processing.
    std::uint64_t runs = 0; ///< Requests whose processing was started.
    std::uint64_t answered = 0; ///< Answers with status 200, also those that a fault then spoiled.
    std::uint64_t failed = 0; ///< Error answers.
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0; ///< Dropped from the queue because their deadline had passed.
    std::uint64_t callsMade = 0; ///< Attempts of outgoing calls.
    std::uint64_t callsRetried = 0; ///< Attempts after the first of a call.
    std::uint64_t callsNotRun = 0; ///< Attempts that ended as not-run.
    std::uint64_t callsUnknown = 0; ///< Attempts that ended as unknown, or without an answer.
    std::uint64_t wrongAnswers = 0; ///< Answers to outgoing calls that carried the id of another call.
    std::uint32_t maxConcurrency = 0;
    std::map<std::string, std::uint64_t> runsByOperation;
    std::map<std::string, std::unordered_map<std::string, std::uint32_t>> runsById; ///< By operation and request id; bounded by maxIds.
};

constexpr std::size_t maxIds = 500'000; ///< Request ids recorded for each operation.

} // namespace cicadamux::test
