/** @file server_registry.cpp Tracks the incarnation of this host's backend server by its heartbeats. */

#include "sidecar/server_registry_base.h"

namespace cicadamux
{

namespace
{
constexpr std::size_t maxDeparted = 64; ///< Departed incarnations that are kept.
constexpr std::int64_t unknownBorn = -1;
} // namespace

server_registry::server_registry(std::string service, std::string address)
    : m_service(std::move(service))
    , m_address(std::move(address))
{
}

heartbeat_verdict server_registry::heartbeat(const server_announcement &announcement, clock_ms now)
{
    if (announcement.service != m_service || announcement.address != m_address || announcement.slots == 0 || !announcement.born) {
        return heartbeat_verdict::foreign;
    }
    const clock_ms born = *announcement.born;
    const bool isKnown = announcement.id == m_server.id && born == m_server.born;
    const bool isOlder = isKnown ? announcement.sequence <= m_server.sequence : born <= m_server.born && !m_server.id.empty();
    if (isOlder || hasDeparted(announcement.id, born)) {
        return heartbeat_verdict::stale;
    }
    const bool wasDraining = isKnown && m_server.state == server_state::draining;
    m_server = {announcement.id,
                born,
                announcement.sequence,
                announcement.draining || wasDraining ? server_state::draining : server_state::serving,
                announcement.slots,
                now,
                now + announcement.coldFor};
    return heartbeat_verdict::accepted;
}

bool server_registry::departure(const std::string &id, std::optional<clock_ms> born, clock_ms now)
{
    if (m_departed.size() >= maxDeparted) {
        m_departed.erase(m_departed.begin());
    }
    const bool isKnown = id == m_server.id && (!born || *born == m_server.born);
    const std::int64_t bornKey = born ? born->count : (isKnown ? m_server.born.count : unknownBorn);
    m_departed.emplace(id, bornKey);
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

bool server_registry::hasDeparted(const std::string &id, clock_ms born) const
{
    return m_departed.contains({id, born.count}) || m_departed.contains({id, unknownBorn});
}

} // namespace cicadamux
