/** @file membership_network_base.h Member tables joined by a queue of datagrams in virtual time, with faults. */

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
    double loss = 0; ///< Share of the datagrams that are lost.
    double duplication = 0; ///< Share that arrive twice.
    double lateness = 0; ///< Share that arrive again up to 20 s later.
    std::int64_t delay = 5; ///< Greatest delay in ms; reorders.
};

/** One daemon's table and its place in the network. */
struct network_node {
    std::unique_ptr<member_table> table;
    std::string host;
    std::string dataCenter;
    bool isRunning = true;
    clock_ms pausedUntil;
    clock_ms nextTick;
    clock_ms nextCompare;
    std::uint64_t lives = 0;
    bool hasJoined = false; ///< Has made a full exchange in this life.
    std::uint64_t generation = 0; ///< Of a change that a test spreads.
    std::uint64_t bytesSent = 0; ///< Gossip.
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesCompared = 0; ///< Sent in comparisons and exchanges, as protocol messages.
};

class gossip_network
{
public:
    explicit gossip_network(std::uint64_t seed);

    /** Starts a daemon; its address is its host's name. The first one is everybody's seed. */
    network_node &start(const std::string &host, const std::string &dataCenter);

    /** Starts `count` daemons `prefix`0, `prefix`1 and so on. */
    void startMany(const std::string &prefix, std::size_t count, const std::string &dataCenter);

    /** Ends a daemon without a word. */
    void kill(const std::string &host);

    /** Freezes a daemon; what arrives meanwhile is kept, as by a socket. */
    void pause(const std::string &host, clock_ms span);

    void run(clock_ms span);

    /** @return How some running daemon's view differs from the truth: the running ones with their present records; empty if none differs. */
    std::string difference() const;

    /** @return How many running daemons satisfy the predicate. */
    std::size_t count(const std::function<bool(const network_node &)> &predicate) const;

    std::map<std::string, network_node> nodes;
    network_faults faults;
    bool compares = true; ///< Daemons compare digests, as the fleet does.
    std::function<void(network_node &node, const change_announcement &change)> changeHeard;
    std::function<bool(const std::string &from, const std::string &to)> reaches; ///< Cuts; one-way ones too.
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
    void compare(network_node &node);
    void compareWith(network_node &node, const std::string &peer, const std::string &dataCenter);
    std::uint64_t sizeOf(const std::vector<member_record> &records) const;
    bool connects(const std::string &one, const std::string &other) const;
    bool isReady(const network_node &node) const;
    double share();

    std::mt19937_64 m_engine;
    std::multimap<clock_ms, datagram> m_queue;
};

/** @return What one daemon holds about another; nothing if it doesn't see it. */
std::optional<member_record> seen(const network_node &by, const std::string &host);

} // namespace cicadamux::test
