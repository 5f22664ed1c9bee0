/** @file member_table_base.h A daemon's view of the fleet, kept by gossip in the manner of SWIM (DSN 2002). */

#pragma once

#include "core/random_func.h"
#include "membership/member_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

struct member_settings {
    clock_ms probePeriod{500}; ///< Time between two probes.
    clock_ms probeTimeout{200}; ///< Time until indirect probes are asked for.
    std::uint32_t indirectProbes = 3; ///< Members asked to probe on this one's behalf.
    clock_ms suspicionTime{2'000}; ///< Time until a suspect is dead; grows with the logarithm of the data centre's size.
    std::size_t datagramBytes = 1'200; ///< Greatest gossip datagram.
    std::uint32_t maxMembers = 32'768; ///< Records kept.
    std::vector<std::string> interests; ///< Services of other data centres to keep; empty keeps all.
};

/** What the table needs of the outside; called without locks held. */
struct member_hooks {
    std::function<void(std::string_view address, std::string datagram)> send; ///< Sends a gossip datagram by UDP.
    std::function<void()> viewChanged; ///< The view differs from what it was; called at most once for each event.
    std::function<void(std::string_view address)> exchange; ///< Starts a full exchange with a peer (gRPC `Exchange`).
    std::function<void(std::string_view host, std::string_view address, std::uint64_t digest)>
        digestDiffers; ///< A peer's configuration differs from this daemon's.
    std::function<void(std::string_view address, const change_announcement &change)> changeAnnounced; ///< A peer has this generation.
};

/** What the table has seen, for metrics. */
struct member_counters {
    std::uint64_t malformed = 0; ///< Datagrams or records that were dropped.
    std::uint64_t olderIncarnations = 0; ///< Records of an earlier life that were refused.
    std::uint64_t refutations = 0; ///< Suspicions of this daemon that it refuted.
    std::uint64_t suspicions = 0; ///< Members that this daemon itself suspected.
    std::uint64_t declaredDead = 0; ///< Members that this daemon itself declared dead.
    std::uint64_t timeGaps = 0; ///< Pauses of this process that it noticed.
};

/** Pure of sockets and real time; the owner serializes the calls. */
class member_table
{
public:
    member_table(member_settings settings, const member_record &self, member_hooks hooks, random_source random);
    ~member_table();
    member_table(const member_table &) = delete;
    member_table &operator=(const member_table &) = delete;

    /** Adds addresses to contact while the view is empty or cut off: from the settings and the seed_list objects. */
    void addSeeds(std::span<const std::string> addresses);

    /** Changes this daemon's own record; it is gossiped at once. */
    void updateSelf(const std::function<void(member_record &)> &change, clock_ms now);

    /** Takes in a datagram; malformed ones are counted and dropped. */
    void receive(std::string_view fromAddress, std::string_view datagram, clock_ms now);

    /** Drives probes, suspicion and gossip; called about every 50 ms. */
    void tick(clock_ms now);

    /** Announces a generation that is in force here; it is gossiped at once. */
    void announce(const change_announcement &change, clock_ms now);

    /** Takes in records from a full exchange. */
    void merge(std::span<const member_record> records, clock_ms now);

    /**
     * Takes in what a member of another data centre answered for some buckets of that data centre.
     * That side is the authority: a member that several answers in a row don't name any more is dead.
     */
    void mergeAuthoritative(const member_filter &filter, std::uint64_t buckets, std::span<const member_record> records, clock_ms now);

    /**
     * Digests of the live members that the filter selects, for a comparison with another daemon's.
     * @param parts 1: one digest of all; memberBuckets: one for each bucket.
     */
    std::vector<std::uint64_t> digests(const member_filter &filter, std::size_t parts) const;

    /** @return The records that the filter selects in these buckets (bit i: bucket i), the dead ones among them. */
    std::vector<member_record> recordsOf(const member_filter &filter, std::uint64_t buckets) const;

    /** @return All records to give in a full exchange, the dead ones that are still remembered among them. */
    std::vector<member_record> records() const;

    /** @return The members that are alive, suspect or leaving, this daemon among them. */
    std::vector<member_record> view() const;

    /**
     * Tells who of this daemon's data centre holds a duty, by rendezvous hashing over the live view.
     * Two views may name different holders: a duty only does what is harmless when done twice.
     */
    bool holdsDuty(std::string_view duty, std::size_t holders) const;

    /** @return The peer address of a random live member of a data centre, without this daemon; empty if there is none. */
    std::string randomPeer(std::string_view dataCenter) const;

    /** @return The names of all data centres that have live members. */
    std::vector<std::string> dataCenters() const;

    const member_record &self() const;

    const member_counters &counters() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
