/** @file member_type.h Member records and configuration announcements that daemons gossip. */

#pragma once

#include "core/clock_type.h"
#include "core/id_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

enum class member_state : std::uint8_t {
    alive,
    suspect, ///< Probes failed; the member refutes the suspicion with a higher revision.
    leaving, ///< Announced by the member itself; it receives no new calls.
    dead ///< The suspicion timed out, or the member has left.
};

/** State of the backend server on a member's host. */
enum class server_state : std::uint8_t {
    absent, ///< No backend server has announced itself.
    serving,
    draining
};

/** @return The name used in logs and query answers, such as `serving`. */
std::string_view toString(server_state state);

/** The record of one member. Of two records, the one with the greater (incarnation, revision, state) wins. */
struct member_record {
    std::string host;
    std::string dataCenter;
    std::string peerAddress; ///< `IP:port`, TCP and UDP.
    incarnation_id incarnation; ///< Wall-clock time at which the daemon started.
    std::uint64_t revision = 0; ///< Incremented by the member itself on each change and to refute a suspicion.
    member_state state = member_state::alive;
    std::string service; ///< Service of the backend server; empty if there is none.
    server_state server = server_state::absent;
    std::uint32_t slots = 0; ///< Number of slots that the backend server announced.
    clock_ms servingFor; ///< Time for which the backend server had been serving when the record was created.
    std::uint64_t configurationDigest = 0; ///< Digest of the configuration in force on the member.

    bool operator==(const member_record &) const = default;
};

/** Announcement of a new generation of a policy object, sent by gossip. */
struct change_announcement {
    std::string kind;
    std::string name;
    std::uint64_t generation = 0;
    std::uint64_t operation = 0; ///< Hash of the operation id; distinguishes two writes of the same generation.

    auto operator<=>(const change_announcement &) const = default;
};

/** Selects the members that two daemons compare. */
struct member_filter {
    std::string dataCenter; ///< Empty selects all data centres.
    std::vector<std::string> services; ///< Empty selects all services.
};

constexpr std::size_t memberBuckets = 64; ///< Buckets of members, by hash of the host, whose digests are compared separately.
constexpr std::string_view digestDuty = "digest"; ///< Duty of comparing members and configuration with the other data centres.
constexpr std::size_t digestHolders = 2; ///< Number of holders of `digestDuty` in each data centre.

} // namespace cicadamux
