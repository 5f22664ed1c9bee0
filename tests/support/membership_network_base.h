/** @file membership_network_base.h Simulates a network of member tables in virtual time, with network faults. */

#pragma once

#include "membership/member_table_base.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cicadamux::test
{

struct network_faults {
    double loss = 0; ///< Fraction of the datagrams that are lost.
    double duplication = 0; ///< Fraction that arrive twice.
    double lateDuplication = 0; ///< Fraction of which a further copy arrives up to 20 s later.
    std::int64_t delay = 5; ///< Maximum delay in ms; random delays reorder datagrams.
};

/** One simulated daemon with its member table. */
struct network_node {
    std::unique_ptr<member_table> table;
    std::string host;
    std::string dataCenter;
    bool isRunning = true;
    clock_ms pausedUntil;
    clock_ms nextTick;
    clock_ms nextComparison;
    std::uint64_t starts = 0;
    bool hasJoined = false; ///< Has made a full exchange with a member of its data centre since its start.
    std::uint64_t generation = 0; ///< Generation that the daemon has received of a change announced by a test.
    std::uint64_t bytesSent = 0; ///< In gossip datagrams.
    std::uint64_t datagramsSent = 0;
    std::uint64_t comparisonBytesSent = 0; ///< In protocol messages of digest comparisons and full exchanges.
};

/** Simulates daemons that gossip over a lossy network, driven by run(). */
class gossip_network
{
public:
    explicit gossip_network(std::uint64_t seed);

    /** Starts a daemon, whose address is its host's name. Its seed is the first host by name at that time. */
    network_node &start(const std::string &host, const std::string &dataCenter);

    /** Starts `count` daemons `prefix`0, `prefix`1 and so on. */
    void startMany(const std::string &prefix, std::size_t count, const std::string &dataCenter);

    /** Stops a daemon without a leave announcement. */
    void kill(const std::string &host);

    /** Suspends a daemon; datagrams that arrive meanwhile are buffered, as by a socket. */
    void pause(const std::string &host, clock_ms span);

    void run(clock_ms span);

    /** @return The first difference between a running daemon's view and the actual running daemons with their present records; empty if there is none. */
    std::string difference() const;

    /** @return How many running daemons satisfy the predicate. */
    std::size_t count(const std::function<bool(const network_node &)> &predicate) const;

    std::map<std::string, network_node> nodes;
    network_faults faults;
    bool comparesDigests = true; ///< Whether daemons compare digests periodically, as in a real fleet.
    std::function<void(network_node &node, const change_announcement &change)> onChangeAnnounced;
    std::function<bool(const std::string &from, const std::string &to)>
        canReach; ///< Simulates partitions, also in one direction only; null: all hosts are connected.
    member_settings settings;
    clock_ms now{100'000};

private:
    struct datagram {
        std::string from;
        std::string to;
        std::string bytes;
    };

    void send(const std::string &from, std::string_view to, const std::string &bytes);
    void deliver();
    void exchange(const std::string &from, const std::string &to);
    void compareDigests(network_node &node);
    void compareWith(network_node &node, const std::string &peer, const std::string &dataCenter);
    std::uint64_t sizeOf(const std::vector<member_record> &records) const;
    bool isConnected(const std::string &host, const std::string &peer) const; ///< In both directions.
    bool isReady(const network_node &node) const;
    double randomFraction();

    std::mt19937_64 m_engine;
    std::multimap<clock_ms, datagram> m_queue;
};

/** @return The record of a host in a daemon's view; nothing if the view doesn't contain the host. */
std::optional<member_record> recordHeldBy(const network_node &by, const std::string &host);

} // namespace cicadamux::test
