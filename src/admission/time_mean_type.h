/** @file time_mean_type.h Mean of a value over time. */

#pragma once

#include "core/clock_type.h"

namespace cicadamux::detail
{

/** Mean of a value that is constant between changes, weighted by how long each value stood. */
class time_mean
{
public:
    /** Sets the value that holds from now on. */
    void set(double value, clock_ms now)
    {
        m_sum += m_value * static_cast<double>((now - m_changedAt).count);
        m_value = value;
        m_changedAt = now;
    }

    /** @return The mean since the last restart. */
    double restart(clock_ms now)
    {
        set(m_value, now);
        const auto span = static_cast<double>((now - m_startedAt).count);
        const double mean = span > 0 ? m_sum / span : m_value;
        m_sum = 0;
        m_startedAt = now;
        return mean;
    }

private:
    double m_value = 0;
    double m_sum = 0; ///< Integral over time since the start, in milliseconds times the value's unit.
    clock_ms m_startedAt;
    clock_ms m_changedAt;
};

} // namespace cicadamux::detail
