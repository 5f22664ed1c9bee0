/** @file queue_pressure.cpp Detects a standing queue and corrects the estimated capacity. */

#include "admission/queue_pressure_base.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr double standingFactor = 0.95; ///< Applied to the correction after a window with a standing queue.
constexpr double refusingFactor = 0.9; ///< Applied to the correction after a window in which waiting calls were refused.
constexpr double minRise = 0.02; ///< Minimum rise of the correction after a window in which the queue was empty at some time.
constexpr double maxRise = 0.3; ///< Maximum rise, when slots were idle.
constexpr double minCorrection = 0.8; ///< The capacity from slots and slot times follows Little's law; only measurement noise needs correction.
} // namespace

void queue_pressure::observe(std::size_t waiting)
{
    m_waiting = waiting;
    m_wasEmpty = m_wasEmpty || waiting == 0;
}

void queue_pressure::admitted(clock_ms waited)
{
    ++m_admitted;
    m_waited += waited.count;
}

void queue_pressure::refused()
{
    ++m_refused;
}

void queue_pressure::closeWindow(double target, double idleFraction)
{
    const double meanWait = m_admitted > 0 ? static_cast<double>(m_waited) / m_admitted : target;
    if (m_refused > 0) {
        m_correction *= refusingFactor;
    } else if (!m_wasEmpty && meanWait >= target) {
        m_correction *= standingFactor;
    } else if (m_wasEmpty) {
        m_correction *= 1 + std::clamp(idleFraction, minRise, maxRise);
    }
    m_correction = std::max(m_correction, minCorrection);
    m_wasEmpty = m_waiting == 0;
    m_admitted = 0;
    m_refused = 0;
    m_waited = 0;
}

void queue_pressure::capCorrection(double maximum)
{
    m_correction = std::min(m_correction, maximum);
}

double queue_pressure::correction() const
{
    return m_correction;
}

} // namespace cicadamux::detail
