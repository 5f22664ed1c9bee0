/** @file server_registry.cpp Tracks the incarnation of this host's backend server by its heartbeats. */

#include "sidecar/server_registry_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
constexpr std::size_t maxDeparted = 64; ///< Departed incarnations that are kept.
constexpr std::int64_t unknownStart = -1;
constexpr std::int64_t silentHeartbeats = 2; ///< Heartbeat intervals without a heartbeat after which the known server counts as ended.
} // namespace

server_incarnation known_server::incarnation() const
{
    if (id.empty()) {
        return server_incarnation::invalid();
    }
    return server_incarnation{std::max<std::uint64_t>(1, hashNumber(static_cast<std::uint64_t>(startedAt.count), hashBytes(id)))};
}

server_registry::server_registry(std::string service, std::string address, clock_ms heartbeat)
    : m_service(std::move(service))
    , m_address(std::move(address))
    , m_heartbeat(heartbeat)
{
}

void server_registry::setHeartbeat(clock_ms heartbeat)
{
    m_heartbeat = heartbeat;
}

heartbeat_verdict server_registry::heartbeat(const server_announcement &announcement, clock_ms now)
{
    if (announcement.service != m_service || announcement.address != m_address || announcement.slots == 0 || !announcement.startedAt) {
        return heartbeat_verdict::foreign;
    }
    const clock_ms startedAt = *announcement.startedAt;
    const bool isKnown = announcement.id == m_server.id && startedAt == m_server.startedAt;
    if (hasDeparted(announcement.id, startedAt) || (isKnown && announcement.sequence <= m_server.sequence)) {
        return heartbeat_verdict::stale;
    }
    const bool startedEarlier = !isKnown && !m_server.id.empty() && startedAt <= m_server.startedAt;
    if (startedEarlier && !isConfirmedStart(announcement, now)) {
        return heartbeat_verdict::stale;
    }
    if (!isKnown && !m_server.id.empty()) {
        addDeparted(m_server.id, m_server.startedAt.count);
    }
    m_candidate.reset();
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
    const bool isKnown = id == m_server.id && (!startedAt || *startedAt == m_server.startedAt);
    const std::int64_t startKey = startedAt ? startedAt->count : (isKnown ? m_server.startedAt.count : unknownStart);
    addDeparted(id, startKey);
    if (isKnown) {
        m_server.state = server_state::absent;
        m_server.updatedAt = now;
    }
    return isKnown || m_server.id.empty();
}

/** @return Whether the known server has ended and this is the second heartbeat of another one. */
bool server_registry::isConfirmedStart(const server_announcement &announcement, clock_ms now)
{
    const bool isSilent = m_server.state == server_state::absent || now - m_server.updatedAt > clock_ms{m_heartbeat.count * silentHeartbeats};
    const bool isRepeated = m_candidate && m_candidate->id == announcement.id && m_candidate->startedAt == announcement.startedAt
        && m_candidate->sequence < announcement.sequence;
    m_candidate = announcement;
    return isSilent && isRepeated;
}

void server_registry::addDeparted(const std::string &id, std::int64_t startKey)
{
    if (m_departed.size() >= maxDeparted) {
        m_departed.erase(m_departed.begin());
    }
    m_departed.emplace(id, startKey);
}

void server_registry::markUnreachable()
{
    if (m_server.state == server_state::serving) {
        m_server.state = server_state::absent;
    }
}

bool server_registry::markLeaving()
{
    if (m_server.id.empty() || isLeaving()) {
        return false;
    }
    m_server.state = server_state::draining;
    return true;
}

bool server_registry::isLeaving() const
{
    return m_server.state == server_state::draining || hasDeparted(m_server.id, m_server.startedAt);
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
