/** @file call_budget_base.h Rate limit of a daemon's calls to the platform. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>

namespace cicadamux
{

/** Token bucket with a capacity of one minute's calls. Not thread-safe. */
class call_budget
{
public:
    call_budget(std::uint32_t callsPerMinute, clock_ms now);

    /** Takes one token. @return False if there is none. */
    bool take(clock_ms now);

private:
    double m_refillRate; ///< Calls per millisecond.
    double m_capacity; ///< Calls.
    double m_available; ///< Calls.
    clock_ms m_refilledAt;
};

} // namespace cicadamux
