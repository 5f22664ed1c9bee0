/** @file queue_pressure.cpp Tells a standing queue from a burst. */

#include "admission/queue_pressure_base.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr double standingFactor = 0.95; ///< Correction after a window with a standing queue.
constexpr double refusingFactor = 0.9; ///< Correction after a window in which the queue itself refused.
constexpr double leastRise = 0.02; ///< Rise of the correction after a window in which the queue emptied.
constexpr double mostRise = 0.3; ///< Greatest rise, where slots were idle.
constexpr double leastCorrection = 0.8; ///< Slots times measured slot times are right but for noise (Little's law).
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

void queue_pressure::closeWindow(double target, double idlePart)
{
    const double meanWait = m_admitted > 0 ? static_cast<double>(m_waited) / m_admitted : target;
    if (m_refused > 0) {
        m_correction *= refusingFactor;
    } else if (!m_wasEmpty && meanWait >= target) {
        m_correction *= standingFactor;
    } else if (m_wasEmpty) {
        m_correction *= 1 + std::clamp(idlePart, leastRise, mostRise);
    }
    m_correction = std::max(m_correction, leastCorrection);
    m_wasEmpty = m_waiting == 0;
    m_admitted = 0;
    m_refused = 0;
    m_waited = 0;
}

void queue_pressure::capCorrection(double most)
{
    m_correction = std::min(m_correction, most);
}

double queue_pressure::correction() const
{
    return m_correction;
}

} // namespace cicadamux::detail
