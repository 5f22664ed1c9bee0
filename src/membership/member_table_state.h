/** @file member_table_state.h What a member_table holds; only its own files include this. */

#pragma once

#include "membership/member_store_base.h"
#include "membership/member_table_base.h"
#include "membership/news_queue_base.h"

#include "peer.pb.h"

#include <map>
#include <set>

namespace cicadamux
{

namespace detail
{
constexpr std::uint32_t retransmitFactor = 4; ///< Times log10 of the data centre's size: how often news are sent.
constexpr std::size_t urgentFanout = 4; ///< Peers that urgent news are pushed to.
constexpr std::size_t remoteFanout = 2; ///< Members of each other data centre that urgent news are pushed to.
constexpr std::uint32_t relayRounds = 1; ///< Pushes of urgent news learnt from others.
constexpr std::uint32_t ownRounds = 3; ///< Pushes of this daemon's own urgent news.
constexpr std::size_t newsBytesPerPeriod = 1'500; ///< News in one probe period, this daemon's own urgent ones apart.
constexpr std::size_t newsBytesSaved = 2 * newsBytesPerPeriod; ///< What quiet periods leave for busy ones.
constexpr clock_ms pushGap{200}; ///< Between two pushes of the same news.
constexpr clock_ms deadMemory{60'000}; ///< Time for which a dead record is remembered.
constexpr clock_ms passingMemory{30'000}; ///< Time for which a record that is only passed on is remembered.
constexpr clock_ms lostMemory{600'000}; ///< Time for which the address of a dead member is tried.
constexpr std::size_t maxLost = 64; ///< Addresses of dead members that are tried.
constexpr clock_ms reconnectPeriod{2'000}; ///< Between two attempts to reach lost addresses or seeds; jittered.
constexpr clock_ms exchangeGap{200}; ///< Least time between two exchanges that the table asks for.
constexpr std::uint32_t maxHealthPenalty = 8; ///< Greatest local health multiplier (Lifeguard, DSN 2018).
constexpr std::uint32_t cutPenalty = 4; ///< Further multiples of the suspicion time while this side may be cut off.
constexpr std::size_t contactsPerDataCenter = 3; ///< Members of each other data centre that are kept whatever their service.
constexpr clock_ms restAfterGap{1'000}; ///< After a pause, time without duties unless a peer answers earlier.
constexpr clock_ms leastGap{1'500}; ///< A shorter time without a call is no pause.
constexpr std::uint32_t absencesOfDead = 6; ///< Answers in a row that must leave a member out: one daemon that has just started knows nobody.
constexpr clock_ms absenceMemory{5'000}; ///< A longer time between two of them starts the count anew.
constexpr std::int64_t digestNewsShare = 100; ///< Milliseconds for each live member between two news of a digest.
constexpr std::size_t maxRelayedProbes = 256; ///< Indirect probes under way for others.
constexpr std::size_t maxSeeds = 256; ///< Seed addresses kept.
} // namespace detail

struct member_table::state {
    /** The probe under way. */
    struct probe {
        std::string host;
        std::string address;
        std::uint64_t sequence = 0;
        clock_ms sentAt;
        bool askedOthers = false;
    };
    /** A probe made for another member. */
    struct relayed_probe {
        std::string origin; ///< Address that asked.
        std::uint64_t originSequence = 0;
        clock_ms expires;
    };
    /** Urgent news still to be pushed. */
    struct urgent_item {
        std::uint32_t rounds = 0;
        clock_ms next;
    };

    state(member_settings memberSettings, const member_record &self, member_hooks memberHooks, random_source randomSource);

    // member_table.cpp: records
    void noteTime(clock_ms at);
    void take(const member_record &record);
    void taken(const member_record &before, detail::member_entry &entry);
    void hearOfSelf(const member_record &record);
    void renewSelf(member_record record, bool urgent);
    bool keeps(const member_record &record) const;
    void passOn(const member_record &record);
    bool isAbsent(detail::member_entry &entry) const;
    member_record aged(const detail::member_entry &entry) const;
    void finishEvent();

    // member_table_receive.cpp: datagrams
    void receive(std::string_view fromAddress, const wire::Gossip &message);
    void checkSender(std::string_view fromAddress, const wire::Gossip &message);
    void answerPing(std::string_view fromAddress, const wire::Gossip &message);
    void relayPing(std::string_view fromAddress, const wire::Gossip &message);
    void takeAck(const wire::Gossip &message);
    void compareConfiguration(std::string_view fromAddress, const wire::Gossip &message);

    // member_table_probe.cpp: probes and suspicion
    void tickProbe();
    void startProbe();
    void askOthers();
    void probeFailed();
    void suspect(detail::member_entry &entry);
    void tickTimed();
    void declareDead(const std::string &host);
    bool isSuspicionOver(const detail::member_entry &entry) const;
    bool seemsCutOff() const;
    void refillProbes();

    // member_table_spread.cpp: sending
    void sendGossip(std::string_view address, wire::Gossip &message);
    void ping(std::string_view address, std::uint64_t sequence, std::string_view aboutHost);
    void addRecord(wire::Gossip &message, const detail::member_entry &entry) const;
    void makeUrgent(const std::string &host, std::uint32_t rounds);
    void makeUrgent(const change_announcement &change, std::uint32_t rounds);
    void pushUrgent();
    void push(const wire::Gossip &message, bool abroad, bool isOwn);
    void pushMembers(bool own);
    void pushChanges();
    bool takeDue(urgent_item &item, const wire::Gossip &message);
    void sign(wire::Gossip &message) const;
    const member_record *recordToSend(const std::string &host) const;
    void tickReconnect();
    void tickDigestNews();
    void wantExchange(std::string_view address);

    // member_table_query.cpp: questions
    std::vector<const detail::member_entry *> selected(const member_filter &filter) const;
    bool isLiveAddress(std::string_view address) const;
    std::vector<std::string> randomPeers(std::string_view dataCenter, std::size_t most, std::string_view without) const;
    bool holdsDuty(std::string_view duty, std::size_t holders) const;

    std::uint64_t below(std::uint64_t bound) const;
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
    detail::member_store passing; ///< Records of no interest here, remembered while they are passed on.
    std::map<std::string, clock_ms> passingUntil;
    detail::news_queue news;
    std::set<std::string> timed; ///< Suspected and dead members.
    std::vector<std::string> probeOrder;
    std::size_t probeNext = 0;
    std::optional<probe> probing;
    clock_ms nextProbe;
    std::uint32_t healthPenalty = 0;
    std::map<std::uint64_t, relayed_probe> relayed;
    std::map<std::string, urgent_item> urgentMembers;
    std::map<change_announcement, urgent_item> urgentChanges;
    std::size_t newsBytes = detail::newsBytesSaved; ///< Still to be used for news.
    std::vector<std::string> seeds;
    std::map<std::string, clock_ms> lost; ///< Addresses of dead members, and until when they are tried.
    clock_ms nextReconnect;
    clock_ms nextExchange;
    std::optional<clock_ms> digestNewsAt;
    std::optional<clock_ms> restsUntil;
    std::optional<clock_ms> lastCall;
    clock_ms now;
    std::uint64_t nextSequence = 1;
    bool isDirty = false;
    member_counters counters;
    mutable std::map<std::string, std::pair<std::uint64_t, std::size_t>, std::less<>> duties; ///< By duty: live version and place in the order.
    mutable member_record agedRecord; ///< What the last aged record was, for the news queue.
};

} // namespace cicadamux
