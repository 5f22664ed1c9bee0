/** @file data_center_history.cpp History of the known data centres. */

#include "operator/data_center_history_base.h"

namespace cicadamux
{

void data_center_history::recordView(std::span<const member_record> view, clock_ms now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[name, presence] : m_dataCenters) {
        presence.lastSeen = presence.isPresent ? now : presence.lastSeen; // It was in the view until now.
        presence.isPresent = false;
    }
    for (const member_record &member : view) {
        if (m_dataCenters.size() < maxDataCenters || m_dataCenters.contains(member.dataCenter)) {
            m_dataCenters[member.dataCenter] = {now, true};
        }
    }
    std::erase_if(m_dataCenters, [now](const auto &entry) {
        return !entry.second.isPresent && now - entry.second.lastSeen > dataCenterRetention;
    });
}

std::vector<std::string> data_center_history::names(clock_ms now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> current;
    for (const auto &[name, presence] : m_dataCenters) {
        if (presence.isPresent || now - presence.lastSeen <= dataCenterRetention) {
            current.push_back(name);
        }
    }
    return current;
}

} // namespace cicadamux
