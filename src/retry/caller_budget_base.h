/** @file caller_budget_base.h Ratio budget for callers that retry from outside. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cicadamux
{

/**
 * Recognises repeats of a refused or failed request from one caller (address, service, operation, method, target and body hash)
 * and lets them be a bounded ratio of the caller's first attempts. Thread-safe and bounded in memory.
 */
class caller_budget
{
public:
    caller_budget();
    ~caller_budget();
    caller_budget(const caller_budget &) = delete;
    caller_budget &operator=(const caller_budget &) = delete;

    /** Counts a request from outside. @return False if it is a repeat beyond the caller's budget. */
    bool admit(std::string_view caller, std::uint64_t requestHash, clock_ms now);

    /** Remembers that a request wasn't answered, so that the same one counts as a repeat for a while. */
    void noteUnanswered(std::string_view caller, std::uint64_t requestHash, clock_ms now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
