/** @file data_center_memory.cpp Which data centres there are. */

#include "operator/data_center_memory_base.h"

namespace cicadamux
{

void data_center_memory::note(std::span<const member_record> view, clock_ms now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, sighting] : m_seen) {
        sighting.last = sighting.isPresent ? now : sighting.last; // It was in the view until now.
        sighting.isPresent = false;
    }
    for (const member_record &member : view) {
        if (m_seen.size() < maxDataCenters || m_seen.contains(member.dataCenter)) {
            m_seen[member.dataCenter] = {now, true};
        }
    }
    std::erase_if(m_seen, [now](const auto &entry) {
        return !entry.second.isPresent && now - entry.second.last > dataCenterMemory;
    });
}

std::vector<std::string> data_center_memory::names(clock_ms now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto &[name, sighting] : m_seen) {
        if (sighting.isPresent || now - sighting.last <= dataCenterMemory) {
            found.push_back(name);
        }
    }
    return found;
}

} // namespace cicadamux
