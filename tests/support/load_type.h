/** @file load_type.h What a load run sends and what came of it. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadamux::test
{

/** One kind of request in the mix. */
struct load_operation {
    std::string service;
    std::string operation;
    std::string label; ///< Results are counted under it, such as the policy's class.
    double perSecond = 0; ///< Mean rate of arrivals, which don't wait for answers.
    clock_ms deadline{1'000}; ///< For the whole request with its retries.
    std::uint32_t retries = 0; ///< Further attempts of the client, at once.
    bool atMostOnce = false; ///< Takes a ticket first, and repeats with the same one.
};

struct load_options {
    std::vector<load_operation> operations;
    std::map<std::string, std::vector<std::string>> entries; ///< Addresses by service, used in turn.
    clock_ms duration{10'000};
    clock_ms seriesStep{100}; ///< Width of one value of the goodput series.
    std::uint32_t threads = 2;
    std::size_t maxInFlight = 4'000; ///< For each thread; arrivals beyond it aren't sent.
    bool useTickets = true; ///< False without daemons: at-most-once requests are then simply repeated.
    std::string idPrefix = "r"; ///< Makes ids unique over several runs.
};

/** What came of one kind of request. */
struct load_count {
    std::uint64_t tried = 0;
    std::uint64_t good = 0; ///< Answered whole with status 200 before the deadline.
    std::uint64_t late = 0; ///< The same, but after the deadline.
    std::uint64_t failed = 0; ///< Answered by a backend server with an error.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0; ///< Told so, or no answer.
    std::uint64_t notSent = 0; ///< Over the load tool's own bound.
    std::uint64_t wrongAnswers = 0; ///< Another request's answer.
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> reasons; ///< Of the last attempts of those that weren't answered.
    std::vector<float> latencies; ///< Of the good ones, milliseconds from the planned arrival.
    std::vector<std::uint32_t> series; ///< Good ones by the time of their answer.
    std::vector<std::string> notRunIds; ///< Every attempt ended as not-run.
    std::vector<std::string> sentIds; ///< All ids, of at-most-once operations only.

    void add(const load_count &other);
};

struct load_result {
    std::map<std::string, load_count> byLabel;
    double seconds = 0; ///< How long requests were sent.

    load_count total() const;
};

/** @return The value below which a part of the values lies; zero if there are none. Reorders the values. */
double percentile(std::vector<float> values, double part);

} // namespace cicadamux::test
