/** @file member_table_state.h State of member_table; only for its implementation files. */

#pragma once

#include "membership/member_store_base.h"
#include "membership/member_table_base.h"
#include "membership/update_queue_base.h"

#include "peer.pb.h"

#include <map>
#include <set>

namespace cicadamux
{

namespace detail
{
constexpr std::uint32_t retransmitFactor = 4; ///< An update is sent this often, times log10 of the size of the data centre.
constexpr std::size_t urgentFanout = 4; ///< Peers in the same data centre that an urgent update is pushed to in each round.
constexpr std::size_t remoteFanout = 2; ///< Members of each other data centre that an urgent update is pushed to in each round.
constexpr std::uint32_t relayedUpdateRounds = 1; ///< Push rounds of an urgent update received from another member.
constexpr std::uint32_t ownUpdateRounds = 3; ///< Push rounds of an urgent update of this daemon's own record.
constexpr std::size_t updateBytesPerPeriod = 1'500; ///< Bytes of updates sent in one probe period, excluding urgent updates of this daemon's own record.
constexpr std::size_t maxUpdateBudget = 2 * updateBytesPerPeriod; ///< Unused budget carries over up to this size.
constexpr clock_ms pushInterval{200}; ///< Interval between two push rounds of the same update.
constexpr clock_ms deadRetention{60'000}; ///< Time for which a dead record is kept.
constexpr clock_ms relayRetention{30'000}; ///< Time for which a record that is only relayed, not stored in the view, is kept.
constexpr clock_ms lostAddressRetention{600'000}; ///< Time for which the daemon tries to reach the address of a dead member again.
constexpr std::size_t maxLostAddresses = 64; ///< Addresses of dead members kept for reconnection.
constexpr clock_ms reconnectPeriod{2'000}; ///< Interval between two attempts to reach lost addresses or seeds; jittered.
constexpr clock_ms minExchangeInterval{200}; ///< Minimum interval between two exchanges that the table requests; jittered.
constexpr std::uint32_t maxHealthPenalty = 8; ///< Maximum local health multiplier (Lifeguard, DSN 2018).
constexpr std::uint32_t isolationPenalty = 4; ///< Additional multiples of the suspicion time while this daemon may be the isolated side.
constexpr std::size_t contactsPerDataCenter = 3; ///< Members of each other data centre that are stored regardless of their service.
constexpr clock_ms dutyPauseAfterGap{1'000}; ///< After a process pause the daemon holds no duties for this time, or until a peer answers.
constexpr clock_ms minPauseGap{1'500}; ///< A shorter interval between two calls is not a process pause.
constexpr std::uint32_t absencesUntilDead = 6; ///< Consecutive answers that must omit a member; a daemon that has just started omits all.
constexpr clock_ms absenceWindow{5'000}; ///< A longer interval between two such answers restarts the count.
constexpr std::int64_t digestUpdateMsPerMember = 100; ///< Per known member; upper bound of the random delay before a changed configuration digest is gossiped.
constexpr std::size_t maxRelayedProbes = 256; ///< Indirect probes in progress for other members.
constexpr std::size_t maxSeeds = 256; ///< Capacity of the list of seed addresses.
} // namespace detail

struct member_table::state {
    /** The probe in progress. */
    struct probe {
        std::string host;
        std::string address;
        std::uint64_t sequence = 0;
        clock_ms sentAt;
        bool indirectSent = false;
    };
    /** An indirect probe in progress for another member. */
    struct relayed_probe {
        std::string origin; ///< Address of the member that requested the probe.
        std::uint64_t originSequence = 0;
        clock_ms expires;
    };
    /** Remaining push rounds of an urgent update. */
    struct urgent_item {
        std::uint32_t rounds = 0;
        clock_ms next;
    };

    state(member_settings memberSettings, const member_record &self, member_hooks memberHooks, random_source randomSource);

    // member_table.cpp: merging records
    void advanceClock(clock_ms at);
    void mergeRecord(const member_record &record);
    void recordMerged(const member_record &before, detail::member_entry &entry);
    void mergeOwnRecord(const member_record &record);
    void publishOwnRecord(member_record record, bool urgent);
    bool shouldStore(const member_record &record) const;
    void relayRecord(const member_record &record);
    bool countAbsence(detail::member_entry &entry) const;
    member_record currentRecord(const detail::member_entry &entry) const;
    void notifyIfChanged();

    // member_table_receive.cpp: datagrams
    void receive(std::string_view fromAddress, const wire::Gossip &message);
    void requestExchangeIfUnknown(std::string_view fromAddress, const wire::Gossip &message);
    void handlePing(std::string_view fromAddress, const wire::Gossip &message);
    void handleIndirectPing(std::string_view fromAddress, const wire::Gossip &message);
    void handleAck(const wire::Gossip &message);
    void compareConfiguration(std::string_view fromAddress, const wire::Gossip &message);

    // member_table_probe.cpp: probes and suspicion
    void tickProbe();
    void startProbe();
    void sendIndirectProbes();
    void probeFailed();
    void suspect(detail::member_entry &entry);
    void tickExpiry();
    void declareDead(const std::string &host);
    bool isSuspicionExpired(const detail::member_entry &entry) const;
    bool seemsIsolated() const;
    void shuffleProbeOrder();

    // member_table_spread.cpp: sending
    void sendGossip(std::string_view address, wire::Gossip &message);
    void ping(std::string_view address, std::uint64_t sequence, std::string_view aboutHost);
    void addRecord(wire::Gossip &message, const detail::member_entry &entry) const;
    void makeUrgent(const std::string &host, std::uint32_t rounds);
    void makeUrgent(const change_announcement &change, std::uint32_t rounds);
    void pushUrgent();
    void push(const wire::Gossip &message, bool toOtherDataCenters, bool isOwn);
    void pushMembers(bool own);
    void pushChanges();
    bool consumeRound(urgent_item &item, const wire::Gossip &message);
    void setSender(wire::Gossip &message) const;
    const member_record *recordToSend(const std::string &host) const;
    void tickReconnect();
    void tickDigestUpdate();
    void requestExchange(std::string_view address);

    // member_table_query.cpp: queries
    std::vector<const detail::member_entry *> selected(const member_filter &filter) const;
    bool isLiveAddress(std::string_view address) const;
    std::vector<std::string> randomPeers(std::string_view dataCenter, std::size_t maxCount, std::string_view excludedHost) const;
    bool holdsDuty(std::string_view duty, std::size_t holders) const;

    std::uint64_t randomBelow(std::uint64_t bound) const;
    clock_ms jittered(clock_ms span) const;
    std::uint32_t sendLimit() const;
    detail::member_entry &selfEntry();
    const detail::member_entry &selfEntry() const;

    member_settings settings;
    member_hooks hooks;
    random_source random;
    std::string selfHost;
    std::string dataCenter;
    detail::member_store store;
    detail::member_store relayedRecords; ///< Records that this daemon does not store in its view, kept while they are relayed.
    std::map<std::string, clock_ms> relayedUntil;
    detail::update_queue updates; ///< Updates piggybacked on datagrams.
    std::set<std::string> timedMembers; ///< Suspected and dead members, whose records time out.
    std::vector<std::string> probeOrder;
    std::size_t probeNext = 0;
    std::optional<probe> currentProbe;
    clock_ms nextProbe;
    std::uint32_t healthPenalty = 0;
    std::map<std::uint64_t, relayed_probe> relayedProbes;
    std::map<std::string, urgent_item> urgentMembers;
    std::map<change_announcement, urgent_item> urgentChanges;
    std::size_t updateBudget = detail::maxUpdateBudget; ///< Bytes of updates that may be sent now.
    std::vector<std::string> seeds;
    std::map<std::string, clock_ms> lostAddresses; ///< Addresses of dead members and the time until which they are tried.
    clock_ms nextReconnect;
    clock_ms nextExchange;
    std::optional<clock_ms> digestUpdateAt;
    std::optional<clock_ms> dutiesPausedUntil;
    std::optional<clock_ms> lastCallAt;
    clock_ms now;
    std::uint64_t nextSequence = 1;
    bool isViewChanged = false;
    member_counters counters;
    mutable std::map<std::string, std::pair<std::uint64_t, std::size_t>, std::less<>> dutyPositions; ///< By duty: live version and rank of this daemon.
    mutable member_record recordBuffer; ///< Storage for the pointer that recordToSend() returns.
};

} // namespace cicadamux
