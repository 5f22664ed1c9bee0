/** @file fleet_base.h Fleet membership of a daemon: gossip, exchanges, and the duties that read the configuration from the platform. */

#pragma once

#include "configuration/configuration_base.h"
#include "membership/member_type.h"
#include "settings/settings_type.h"
#include "store/store_type.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** What an exchange transfers. */
enum class exchange_scope : std::uint8_t {
    full, ///< All members, and the objects that are newer than `generations`.
    compare, ///< Whether members and configuration differ; with the digests of all buckets, the members of those that differ.
    configuration, ///< The objects that are newer than `generations`.
    named ///< The objects named in `generations` that are newer.
};

/** The request of an exchange. */
struct exchange_request {
    std::vector<member_record> members; ///< The sender's own record.
    std::vector<object_generation> generations;
    std::string senderAddress; ///< Peer address of the requesting daemon.
    exchange_scope scope = exchange_scope::full;
    member_filter filter; ///< The members that are compared or requested.
    std::vector<std::uint64_t> memberDigests; ///< One digest of all selected members, or one per bucket.
    std::uint64_t configurationDigest = 0;
    std::string senderDataCenter;
};

/** The reply to an exchange. */
struct exchange_reply {
    std::vector<member_record> members;
    std::vector<configuration_object> newer; ///< Objects that the requesting side lacks or has at a lower generation; bounded.
    std::vector<object_generation> wanted; ///< Objects that the replying side lacks or has at a lower generation.
    std::uint64_t memberBuckets = 0; ///< Bit i is set if `members` has all members of bucket i.
    bool membersDiffer = false; ///< The digests differ; to be requested again with the digests of the buckets.
    bool configurationDiffers = false; ///< The configuration differs; to be requested again with the generations.
    bool isTruncated = false; ///< `newer` reached its bound; to be requested again.
    std::string dataCenter; ///< Data centre of the replying daemon.
};

/** Called with the reply, or with nothing if the peer did not answer in time. */
using exchange_handler = std::function<void(std::optional<exchange_reply>)>;

/** Callbacks of the fleet; called on any thread of the daemon. */
struct fleet_hooks {
    std::function<void(std::shared_ptr<const std::vector<member_record>>)> viewChanged; ///< Receives the whole view.
    policy_hook policyChanged; ///< Receives the whole policy set in force.
    std::function<void(const std::string &address, const exchange_request &request, exchange_handler handler)>
        exchange; ///< Sends an exchange to a peer by gRPC.
};

/** Event counters, for metrics and operators. */
struct fleet_counters {
    std::uint64_t gossipBytesSent = 0;
    std::uint64_t gossipBytesReceived = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t exchangeBytesSent = 0; ///< Estimated from the encoded sizes of requests and replies.
    std::uint64_t exchangeBytesReceived = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t staleOffers = 0; ///< Offered policy objects that were rejected for a lower generation.
};

/** Takes part in the fleet on behalf of one daemon. Thread-safe; runs on the threads of the io_context, serialized by a strand. */
class fleet
{
public:
    /**
     * @param platform Must outlive the fleet; null if there is no platform.
     * @throws cicadamux::error if the UDP port cannot be bound.
     */
    fleet(boost::asio::io_context &context, const daemon_settings &settings, incarnation_id incarnation, object_store *platform, fleet_hooks hooks);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /** Starts gossip and, while this daemon holds the duty, the watch of the platform. */
    void start();

    /** Announces the state of the backend server on this host. */
    void setServer(std::string_view service, server_state state, std::uint32_t slots);

    /** Announces, repeatedly, that this daemon is leaving. The owner calls stop() once the remaining calls are done. */
    void leave();

    /** Stops all activity; no hook is called afterwards. */
    void stop();

    /** Answers an exchange that a peer has started. */
    exchange_reply answerExchange(const exchange_request &request);

    /** @return The view that was last published through the hook. */
    std::shared_ptr<const std::vector<member_record>> view() const;

    /** @return The configuration, which is thread-safe itself. */
    configuration &config();

    fleet_counters counters() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cicadamux
