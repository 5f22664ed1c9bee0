/** @file backend_standin_fault.cpp Faults of the backend stand-in. */

#include "standin/backend_standin_worker.h"

namespace cicadamux::test
{

void backend_worker::setFault(backend_fault which, const fault_state &fault)
{
    m_faults[static_cast<std::size_t>(which)] = fault;
}

void backend_worker::clearFaults()
{
    m_faults = {};
}

const fault_state &backend_worker::fault(backend_fault which) const
{
    return m_faults[static_cast<std::size_t>(which)];
}

bool backend_worker::shouldInject(backend_fault which)
{
    fault_state &state = m_faults[static_cast<std::size_t>(which)];
    if (state.count <= 0 || steadyNow() >= state.until) {
        return false;
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(m_random) >= state.ratio) {
        return false;
    }
    --state.count;
    return true;
}

} // namespace cicadamux::test
