/** @file concurrency_limit_base.h How many calls a backend server is given at a time. */

#pragma once

#include "admission/gate_base.h"

#include <string_view>

namespace cicadamux::detail {

/** Learns the concurrency limit of one backend server from its answers. */
class concurrency_limit
{
public:
    explicit concurrency_limit(const gate_settings &settings);

    /** Sets the upper bound of learning; 0 if the backend server announced none. */
    void setAnnounced(std::uint32_t slots, clock_ms now);

    /** Counts an admission. */
    void started(std::uint32_t inUse, clock_ms now);

    /** Takes in how an admitted call ended. `inUse` doesn't count it any more. */
    void ended(work_end end, clock_ms admittedAt, std::uint32_t inUse, clock_ms now);

    /** Closes the present window of measurement if it is over. */
    void advance(std::uint32_t inUse, clock_ms now);

    std::uint32_t current() const;
    std::string_view reason() const; ///< Why it last moved.
    clock_ms movedAt() const;

private:
    void move(std::uint32_t limit, std::string_view reason, clock_ms now);

    std::uint32_t m_min;
    std::uint32_t m_max;
    std::uint32_t m_bound;
    std::uint32_t m_initial;
    std::uint32_t m_current;
    std::string_view m_reason = "initial";
    clock_ms m_movedAt;
};

} // namespace cicadamux::detail
