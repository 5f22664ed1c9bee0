/** @file rate_limit_base.h Token bucket for the request rate that a backend server takes. */

#pragma once

#include "core/clock_type.h"

#include <cstddef>
#include <optional>

namespace cicadamux
{

/** Without a rate it admits everything. Not thread-safe; does no I/O. */
class rate_limit
{
public:
    /**
     * Sets the rate, or lifts it; what was taken under an earlier rate stays taken.
     * @param perSecond Requests a second; a rate near 0 still admits a request now and then, whose answer may state another.
     */
    void set(std::optional<double> perSecond, clock_ms now);

    /** @return Requests a second; nothing without a rate. */
    std::optional<double> rate() const;

    /** @return Whether a request may be sent now. */
    bool isFree(clock_ms now) const;

    /** Counts a request that is sent. */
    void take(clock_ms now);

    /** @return Time until a request may be sent that has `ahead` others before it. */
    clock_ms wait(std::size_t ahead, clock_ms now) const;

private:
    double tokensAt(clock_ms now) const;
    double capacity() const;

    std::optional<double> m_rate; ///< Requests a second.
    double m_tokens = 0; ///< At `m_countedAt`; negative if requests were sent beyond the rate.
    clock_ms m_countedAt;
};

} // namespace cicadamux
