/** @file host_directory_base.h The other hosts: found in the store, reached over links. */

#pragma once

#include "link/host_link_base.h"
#include "sidecar/seen_host_type.h"
#include "sidecar/sidecar_core_type.h"
#include "store/object_mirror_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cicadamux
{

/** What a host writes of itself into the store. */
struct host_entry {
    std::string host;
    std::string dataCenter;
    std::string service; ///< Of its backend server.
    std::string linkAddress; ///< `IP:port`.

    bool operator==(const host_entry &) const = default;
};

/** Writes an entry as the JSON content of a store object. */
std::string formatHostEntry(const host_entry &entry);

/** Reads what formatHostEntry() wrote; nothing if it is something else. */
std::optional<host_entry> parseHostEntry(const std::string &json);

/** What the directory tells its owner. */
struct host_directory_hooks {
    std::function<void()> changed; ///< Hosts came or left, or can be reached or not.
    std::function<void(const std::string &host, link_health health)> linkChanged;
    std::function<void(configuration_offer offer)> offered;
    std::function<configuration_offer()> configuration; ///< In force here, for hosts that have none.
    std::function<void(std::uint64_t version, const std::string &host)> heardVersion; ///< A host has this configuration in force.
};

/** Keeps this host's entry in the store, reads all others, and holds a link to each. Used by one thread. */
class host_directory
{
public:
    host_directory(sidecar_core &core, object_store &store, host_entry own, host_directory_hooks hooks);

    void start();

    /** Takes in the hosts that another host knows; ignored once the store has told them itself. */
    void introduced(const host_introduction &hosts);

    /** Probes links and repairs the own entry; called a few times a second. */
    void tick(clock_ms now);

    /** @return Upstreams that calls may go to now; hosts that can't be reached count as draining. */
    std::vector<upstream> upstreams(clock_ms now) const;

    /** @return The link to a host; null if it isn't known. */
    std::shared_ptr<host_link> find(std::string_view host) const;

    /** @return Mean run time of a route at another host, milliseconds; 0 if it isn't known. */
    double expectedRun(std::string_view host, std::string_view route) const;

    /** @return All other hosts, for operators. */
    std::vector<seen_host> seenHosts() const;

    /** @return Hosts that are known, this one included. */
    std::size_t hostCount() const;

    /** Removes the own entry from the store, since this host's backend server has left for good. */
    void leave();

    void stop();

private:
    struct known_host {
        host_entry entry;
        std::shared_ptr<host_link> link;
        std::optional<host_report> report; ///< Nothing before the first since the link came up.
        link_health health = link_health::down;
        clock_ms servingSince; ///< Instant; for slow start.
        std::optional<clock_ms> lacksAllSince; ///< When it first said that it has no configuration.
        clock_ms introducedAt; ///< When it was last told what this host knows.
        clock_ms forgetAt; ///< When its entry is removed if it is still down.
        std::map<std::string, double, std::less<>> runs; ///< Mean run times by route, milliseconds, from the last probe.
    };

    void readEntries(const std::map<std::string, stored_object> &objects);
    void add(const host_entry &entry);
    void linkUp(const std::string &host, bool isUp, std::string_view why);
    void reported(const std::string &host, const host_report &report);
    void noteHealth(const std::string &host, known_host &known);
    void considerIntroducing(known_host &known, clock_ms now);
    void introduceTo(const known_host &known);
    void writeOwn(clock_ms now);
    static clock_ms forgetTime();
    void forgetDead(clock_ms now);

    sidecar_core &m_core;
    object_store &m_store;
    host_entry m_own;
    host_directory_hooks m_hooks;
    std::shared_ptr<object_mirror> m_mirror;
    std::map<std::string, known_host, std::less<>> m_hosts; ///< By name.
    std::uint64_t m_ownVersion = 0; ///< Of the own object in the store; 0 if there is none.
    bool m_ownIsCurrent = false;
    bool m_isWriting = false;
    bool m_isListed = false;
    bool m_isLeaving = false;
    clock_ms m_nextWrite;
    clock_ms m_startedAt;
};

} // namespace cicadamux
