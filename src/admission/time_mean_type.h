/** @file time_mean_type.h Time-weighted mean. */

#pragma once

#include "core/clock_type.h"

namespace cicadamux::detail
{

/** Time-weighted mean of a value that is constant between changes. */
class time_mean
{
public:
    /** Sets the value from `now` on. */
    void set(double value, clock_ms now)
    {
        m_sum += m_value * static_cast<double>((now - m_changedAt).count);
        m_value = value;
        m_changedAt = now;
    }

    /** Starts a new interval. @return The mean of the interval that ends. */
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
    double m_sum = 0; ///< Integral since the start of the interval, in milliseconds times the unit of the value.
    clock_ms m_startedAt;
    clock_ms m_changedAt;
};

} // namespace cicadamux::detail
