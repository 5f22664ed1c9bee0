/** @file load_type.h Options and results of a load run. */

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
    double perSecond = 0; ///< Mean arrival rate; open loop, so arrivals don't wait for answers.
    clock_ms deadline{1'000}; ///< For the request including its retries.
    std::uint32_t retries = 0; ///< Further attempts of the client, made without delay.
    bool atMostOnce = false; ///< Takes a ticket first; retries use the same ticket once an attempt may have run.
};

struct load_options {
    std::vector<load_operation> operations;
    std::map<std::string, std::vector<std::string>> entries; ///< Addresses by service, used round robin.
    clock_ms duration{10'000};
    clock_ms seriesStep{100}; ///< Width of one value of the goodput series.
    std::uint32_t threads = 2;
    std::size_t maxInFlight = 4'000; ///< For each thread; further arrivals aren't sent.
    bool useTickets = true; ///< False without daemons: at-most-once requests are then retried without a ticket.
    std::string idPrefix = "r"; ///< Makes ids unique over several runs.
};

/** The results of one kind of request. */
struct load_count {
    std::uint64_t tried = 0;
    std::uint64_t good = 0; ///< Complete answers with status 200 before the deadline.
    std::uint64_t late = 0; ///< Complete answers with status 200 after the deadline.
    std::uint64_t failed = 0; ///< Error answers of a backend server.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0; ///< Reported as unknown, or not answered.
    std::uint64_t notSent = 0; ///< Exceeded load_options::maxInFlight.
    std::uint64_t wrongAnswers = 0; ///< Answers that belong to another request.
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> reasons; ///< Reason of the last attempt, for requests that got no valid answer.
    std::vector<float> latencies; ///< Of the good requests: milliseconds from the planned arrival.
    std::vector<std::uint32_t> series; ///< Good requests in each seriesStep, by the time of the answer.
    std::vector<std::string> notRunIds; ///< Requests of which every attempt ended as not-run.
    std::vector<std::string> sentIds; ///< Ids of all requests sent to at-most-once operations.

    void add(const load_count &other);
};

struct load_result {
    std::map<std::string, load_count> byLabel;
    double seconds = 0; ///< Duration of the sending phase.

    load_count total() const;
};

/** @return The value below which the given fraction of the values lies; zero if there are no values. */
double percentile(std::vector<float> values, double fraction);

} // namespace cicadamux::test
