/** @file server_registry_base.h Tracks the incarnation of this host's backend server by its heartbeats. */

#pragma once

#include "core/clock_type.h"
#include "membership/member_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cicadamux
{

/** One heartbeat of a backend server. */
struct server_announcement {
    std::string id; ///< A later incarnation may use it again.
    std::optional<clock_ms> startedAt; ///< Start time, Unix time by the server's own clock.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    std::string service;
    std::string address; ///< `IP:port`.
    bool draining = false;
    std::uint32_t slots = 0; ///< Requests that it executes concurrently.
    clock_ms coldFor; ///< Remaining warm-up time, during which it is slow.
};

/** How a heartbeat was classified. */
enum class heartbeat_verdict : std::uint8_t {
    accepted,
    stale, ///< Of an earlier or departed incarnation, or older than the last heartbeat; ignored.
    foreign ///< Not of this host's backend server, or without slots or a start time; ignored.
};

/** Last known state of the backend server. */
struct known_server {
    std::string id;
    clock_ms startedAt;
    std::uint64_t sequence = 0;
    server_state state = server_state::absent;
    std::uint32_t slots = 0;
    clock_ms updatedAt; ///< Instant of the last accepted heartbeat, or of the departure.
    clock_ms coldUntil; ///< Instant at which its warm-up ends.

    /** @return Invalid if no server is known. */
    server_incarnation incarnation() const;
};

/**
 * Orders the heartbeats of an incarnation by sequence number. A later start time shows a newer incarnation at once; an
 * earlier one, which a stepped clock can cause, only once the known server is silent or gone and a second heartbeat
 * follows, since a single one may be a late heartbeat of an earlier incarnation. Draining and departure are final for an
 * incarnation. Not thread-safe.
 */
class server_registry
{
public:
    /** @param heartbeat Interval between heartbeats of a server. */
    server_registry(std::string service, std::string address, clock_ms heartbeat = {1'500});

    /** Changes the interval between heartbeats. */
    void setHeartbeat(clock_ms heartbeat);

    heartbeat_verdict heartbeat(const server_announcement &announcement, clock_ms now);

    /** Records that a server has left. @return Whether it was the known one, or none is known. */
    bool departure(const std::string &id, std::optional<clock_ms> startedAt, clock_ms now);

    /** Marks the server absent because it refuses connections; the next heartbeat restores it. */
    void markUnreachable();

    /** Records that the known server leaves. @return False if that was known. */
    bool markLeaving();

    /** @return Whether the known server drains or has left. */
    bool isLeaving() const;

    const known_server &current() const;

private:
    bool isConfirmedStart(const server_announcement &announcement, clock_ms now);
    void addDeparted(const std::string &id, std::int64_t startKey);
    bool hasDeparted(const std::string &id, clock_ms startedAt) const;

    std::string m_service;
    std::string m_address;
    clock_ms m_heartbeat;
    known_server m_server;
    std::optional<server_announcement> m_candidate; ///< Last heartbeat of an incarnation with an earlier start time than the known one's.
    std::set<std::pair<std::string, std::int64_t>> m_departed; ///< Id and start time of departed incarnations; -1 if the start time is unknown.
};

} // namespace cicadamux
