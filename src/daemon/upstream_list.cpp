/** @file upstream_list.cpp Converts the membership view into upstreams. */

#include "daemon/upstream_list_base.h"

namespace cicadamux
{

std::vector<upstream> upstream_list::update(std::span<const member_record> view, clock_ms now)
{
    std::vector<upstream> upstreams;
    std::map<std::string, known_server> updated;
    for (const member_record &record : view) {
        if (record.server == server_state::absent || record.state == member_state::dead) {
            continue;
        }
        upstream entry;
        entry.service = record.service;
        entry.host = record.host;
        entry.dataCenter = record.dataCenter;
        entry.peerAddress = record.peerAddress;
        entry.incarnation = record.incarnation;
        entry.slots = record.slots;
        entry.draining = record.server == server_state::draining || record.state == member_state::leaving;
        entry.servingSince = servingSince(record, now, updated);
        upstreams.push_back(std::move(entry));
    }
    m_known = std::move(updated);
    return upstreams;
}

clock_ms upstream_list::servingSince(const member_record &record, clock_ms now, std::map<std::string, known_server> &updated) const
{
    const auto previous = m_known.find(record.host);
    const bool isSame = previous != m_known.end() && previous->second.incarnation == record.incarnation && previous->second.service == record.service;
    const clock_ms since = isSame ? previous->second.servingSince : now - record.servingFor;
    updated[record.host] = {record.incarnation, record.service, since};
    return since;
}

} // namespace cicadamux
