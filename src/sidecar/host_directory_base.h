/** @file host_directory_base.h Discovers the other hosts through the store and keeps a link to each. */

#pragma once

#include "link/host_link_base.h"
#include "sidecar/remote_host_status_type.h"
#include "sidecar/server_memory_base.h"
#include "sidecar/sidecar_core_type.h"
#include "store/object_mirror_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cicadamux
{

constexpr std::string_view hostDirectoryKind = "cicadamux-hosts"; ///< Kind of the hosts' entries in the store; the name is the host's.

/** Entry of a host in the store. */
struct host_entry {
    std::string host;
    std::string dataCenter;
    std::string service; ///< Of its backend server.
    std::string linkAddress; ///< `IP:port`.

    bool operator==(const host_entry &) const = default;
};

/** Writes an entry as the JSON content of a store object. */
std::string formatHostEntry(const host_entry &entry);

/** Parses the output of formatHostEntry(); nothing for any other text. */
std::optional<host_entry> parseHostEntry(const std::string &json);

/** Callbacks to the owner of a directory. */
struct host_directory_hooks {
    std::function<void()> changed; ///< Hosts joined or left, or a host's reachability or state changed.
    std::function<void(const std::string &host, link_health health)> linkChanged;
    std::function<void(configuration_offer offer)> configurationOffered;
    std::function<configuration_offer()> configuration; ///< Returns the configuration in force here, for hosts that have none.
    std::function<void(std::uint64_t version, const std::string &host)> remoteVersionSeen; ///< A host has this newer version in force.
    std::function<void()> restarted; ///< The first listing holds this host's entry, so an earlier process wrote it.
};

/** Maintains this host's entry in the store, reads the other entries, and keeps a link to each host. Used by one thread. */
class host_directory
{
public:
    host_directory(sidecar_core &core, object_store &store, host_entry own, host_directory_hooks hooks);

    void start();

    /** Lists again at once, after the store was replaced. */
    void refresh();

    /** Adds the hosts that another host knows; ignored once the store has listed the hosts. */
    void receiveIntroduction(const host_introduction &hosts);

    /** Probes links, removes entries of unreachable hosts and rewrites this host's entry if needed; called a few times a second. */
    void tick(clock_ms now);

    /** @return Upstreams for the router; those that can't take calls now are marked as draining. */
    std::vector<upstream> upstreams(clock_ms now) const;

    /** @return The link to a host; null if the host is unknown. */
    std::shared_ptr<host_link> find(std::string_view host) const;

    /** @return Mean run time of a route at another host, in milliseconds; 0 if unknown. */
    double expectedRun(std::string_view host, std::string_view route) const;

    /** @return Status of all other hosts, for operator queries. */
    std::vector<remote_host_status> remoteHosts() const;

    /** @return Number of known hosts, including this one. */
    std::size_t hostCount() const;

    /** Removes this host's entry from the store, when its backend server has left for good. */
    void leave();

    void stop();

private:
    struct known_host {
        host_entry entry;
        std::shared_ptr<host_link> link;
        std::optional<host_report> report; ///< Empty until the first report since the link came up.
        link_health health = link_health::down;
        clock_ms servingSince; ///< Instant of the last change of the server's state; for slow start.
        std::optional<clock_ms> unconfiguredSince; ///< Instant of its first report without a configuration.
        clock_ms introducedAt; ///< Instant of the last introduction sent to it.
        clock_ms removeAt; ///< Instant at which its entry is removed if the link is still down.
        std::map<std::string, double, std::less<>> runs; ///< Mean run times by route, in milliseconds, from the last report that had any.
    };

    void applyEntries(const std::map<std::string, stored_object> &objects);
    void removeUnlisted();
    void addListed();
    void add(const host_entry &entry);
    void handleLinkChange(const std::string &host, bool isUp, std::string_view why);
    void handleReport(const std::string &host, const host_report &report);
    void updateHealth(const std::string &host, known_host &known);
    void shareStatement(const known_host &known, const server_statement &reported);
    void introduceIfDue(known_host &known, clock_ms now);
    void sendIntroduction(const known_host &known);
    void writeOwnEntry(clock_ms now);
    static clock_ms drawRemovalTime();
    void removeUnreachable(clock_ms now);
    void setProbePeriods();
    void setProbePeriod(const known_host &known) const;
    void probeDataCenter(std::string_view dataCenter);

    sidecar_core &m_core;
    object_store &m_store;
    host_entry m_own;
    host_directory_hooks m_hooks;
    std::shared_ptr<object_mirror> m_mirror;
    std::map<std::string, known_host, std::less<>> m_hosts; ///< Other hosts, by name.
    std::map<std::string, host_entry> m_entries; ///< Of other hosts, as last listed by the store.
    server_memory m_servers;
    std::uint64_t m_ownVersion = 0; ///< Version of this host's entry in the store; 0 if there is none.
    bool m_ownIsCurrent = false; ///< This host's entry in the store is up to date.
    bool m_isWriting = false;
    bool m_hasListing = false; ///< The store has listed the hosts at least once.
    bool m_isLeaving = false;
    bool m_isLinkLost = false; ///< A link has broken since the last tick, so that its host may have to be forgotten.
    clock_ms m_nextWrite;
    clock_ms m_startedAt;
    clock_ms m_probePeriod{1'000}; ///< Of links to configured hosts.
};

} // namespace cicadamux
