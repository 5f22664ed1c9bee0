/** @file server_registry.cpp Tracks the incarnation of this host's backend server by its heartbeats. */

#include "sidecar/server_registry_base.h"

namespace cicadamux
{

namespace
{
constexpr std::size_t maxDeparted = 64; ///< Departed incarnations that are kept.
constexpr std::int64_t unknownStart = -1;
} // namespace

server_registry::server_registry(std::string service, std::string address)
    : m_service(std::move(service))
    , m_address(std::move(address))
{
}

heartbeat_verdict server_registry::heartbeat(const server_announcement &announcement, clock_ms now)
{
    if (announcement.service != m_service || announcement.address != m_address || announcement.slots == 0 || !announcement.startedAt) {
        return heartbeat_verdict::foreign;
    }
    const clock_ms startedAt = *announcement.startedAt;
    const bool isKnown = announcement.id == m_server.id && startedAt == m_server.startedAt;
    const bool isOlder = isKnown ? announcement.sequence <= m_server.sequence : startedAt <= m_server.startedAt && !m_server.id.empty();
    if (isOlder || hasDeparted(announcement.id, startedAt)) {
        return heartbeat_verdict::stale;
    }
    const bool wasDraining = isKnown && m_server.state == server_state::draining;
    m_server = {announcement.id,
                startedAt,
                announcement.sequence,
                announcement.draining || wasDraining ? server_state::draining : server_state::serving,
                announcement.slots,
                now,
                now + announcement.coldFor};
    return heartbeat_verdict::accepted;
}

bool server_registry::departure(const std::string &id, std::optional<clock_ms> startedAt, clock_ms now)
{
    if (m_departed.size() >= maxDeparted) {
        m_departed.erase(m_departed.begin());
    }
    const bool isKnown = id == m_server.id && (!startedAt || *startedAt == m_server.startedAt);
    const std::int64_t startKey = startedAt ? startedAt->count : (isKnown ? m_server.startedAt.count : unknownStart);
    m_departed.emplace(id, startKey);
    if (isKnown) {
        m_server.state = server_state::absent;
        m_server.updatedAt = now;
    }
    return isKnown || m_server.id.empty();
}

void server_registry::markUnreachable()
{
    if (m_server.state == server_state::serving) {
        m_server.state = server_state::absent;
    }
}

const known_server &server_registry::current() const
{
    return m_server;
}

bool server_registry::hasDeparted(const std::string &id, clock_ms startedAt) const
{
    return m_departed.contains({id, startedAt.count}) || m_departed.contains({id, unknownStart});
}

} // namespace cicadamux
