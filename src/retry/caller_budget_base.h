/** @file caller_budget_base.h Budget of retries by external callers, a ratio of their first attempts. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cicadamux
{

/**
 * Detects repeats of a refused or failed request by the same caller (same address, service, operation, method, target and
 * body hash) and limits them to a ratio of the caller's first attempts. Thread-safe and bounded in memory.
 */
class caller_budget
{
public:
    caller_budget();
    ~caller_budget();
    caller_budget(const caller_budget &) = delete;
    caller_budget &operator=(const caller_budget &) = delete;

    /** Counts a request of an external caller. @return False if it is a repeat and the caller's budget is used up. */
    bool admit(std::string_view caller, std::uint64_t requestHash, clock_ms now);

    /** Records that a request was refused or failed, so that the same request counts as a repeat for unansweredLifetime. */
    void recordUnanswered(std::string_view caller, std::uint64_t requestHash, clock_ms now);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
