/** @file member_table_base.h Membership table of a daemon, maintained by SWIM gossip (DSN 2002). */

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
    clock_ms probePeriod{500}; ///< Interval between two probes.
    clock_ms probeTimeout{200}; ///< Time without an acknowledgement after which indirect probes are requested.
    std::uint32_t indirectProbes = 3; ///< Members that are requested to probe on behalf of this one.
    clock_ms suspicionTime{2'000}; ///< Time after which a suspect is declared dead; scaled by log10 of the size of the data centre.
    std::size_t datagramBytes = 1'200; ///< Maximum size of a gossip datagram.
    std::uint32_t maxMembers = 32'768; ///< Maximum number of stored records.
    std::vector<std::string> interests; ///< Services whose members in other data centres are stored; empty stores all.
};

/** Callbacks of the table; called without locks held. */
struct member_hooks {
    std::function<void(std::string_view address, std::string datagram)> send; ///< Sends a gossip datagram by UDP.
    std::function<void()> viewChanged; ///< The view has changed; called at most once for each call of the table.
    std::function<void(std::string_view address)> exchange; ///< Starts a full exchange with a peer (gRPC `Exchange`).
    std::function<void(std::string_view host, std::string_view address, std::uint64_t digest)>
        digestDiffers; ///< The configuration digest of a peer differs from this daemon's.
    std::function<void(std::string_view address, const change_announcement &change)> changeAnnounced; ///< A peer has announced this generation.
};

/** Event counters, for metrics. */
struct member_counters {
    std::uint64_t malformed = 0; ///< Malformed datagrams and records that were dropped.
    std::uint64_t olderIncarnations = 0; ///< Records rejected because they belong to an earlier incarnation or the table is full.
    std::uint64_t refutations = 0; ///< Suspicions of this daemon that it has refuted.
    std::uint64_t suspicions = 0; ///< Members that this daemon has suspected after failed probes.
    std::uint64_t declaredDead = 0; ///< Members that this daemon has declared dead.
    std::uint64_t processPauses = 0; ///< Detected pauses of this process.
};

/** Uses neither sockets nor the system clock. Not thread-safe. */
class member_table
{
public:
    member_table(member_settings settings, const member_record &self, member_hooks hooks, random_source random);
    ~member_table();
    member_table(const member_table &) = delete;
    member_table &operator=(const member_table &) = delete;

    /** Adds addresses, from the settings or the seed_list objects, to contact while this daemon knows no peer in its data centre or the view lacks them. */
    void addSeeds(std::span<const std::string> addresses);

    /** Changes this daemon's own record and gossips it at once; a change of only the configuration digest is gossiped with a delay. */
    void updateSelf(const std::function<void(member_record &)> &change, clock_ms now);

    /** Processes a received datagram; malformed ones are counted and dropped. */
    void receive(std::string_view fromAddress, std::string_view datagram, clock_ms now);

    /** Runs probes, suspicion time-outs and gossip; to be called about every 50 ms. */
    void tick(clock_ms now);

    /** Announces a generation that has come into force on this daemon. */
    void announce(const change_announcement &change, clock_ms now);

    /** Merges records received in an exchange. */
    void merge(std::span<const member_record> records, clock_ms now);

    /**
     * Merges the records that a member of another data centre returned for some buckets of its own data centre.
     * Such an answer is authoritative: a member that several consecutive answers omit is declared dead.
     */
    void mergeAuthoritative(const member_filter &filter, std::uint64_t buckets, std::span<const member_record> records, clock_ms now);

    /**
     * Digests of the live members that the filter selects, for comparison with another daemon.
     * @param parts 1 for a single digest of all members, memberBuckets for one digest per bucket.
     */
    std::vector<std::uint64_t> digests(const member_filter &filter, std::size_t parts) const;

    /** @return The records that the filter selects in these buckets (bit i is bucket i), including dead ones. */
    std::vector<member_record> recordsOf(const member_filter &filter, std::uint64_t buckets) const;

    /** @return All stored records, including dead ones, for a full exchange. */
    std::vector<member_record> records() const;

    /** @return The members that are alive, suspect or leaving, including this daemon. */
    std::vector<member_record> view() const;

    /**
     * Whether this daemon is one of the holders of a duty in its data centre, by rendezvous hashing over the live members.
     * Daemons with different views may choose different holders, so the work of a duty must be harmless when done twice.
     */
    bool holdsDuty(std::string_view duty, std::size_t holders) const;

    /** @return The peer address of a random live member of a data centre other than this daemon; empty if there is none. */
    std::string randomPeer(std::string_view dataCenter) const;

    /** @return The data centres that have live members. */
    std::vector<std::string> dataCenters() const;

    const member_record &self() const;

    const member_counters &counters() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux
