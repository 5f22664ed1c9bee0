/** @file update_queue_base.h Updates piggybacked on gossip datagrams, each sent a bounded number of times. */

#pragma once

#include "membership/member_type.h"

#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace cicadamux::detail
{

/** Returns the record of a host as it is to be sent; null if the host is no longer known. */
using record_lookup = std::function<const member_record *(const std::string &host)>;

/** Sends the updates that were sent least often first (SWIM, section 4.1) and drops each after a given number of sends. */
class update_queue
{
public:
    /** Queues the record of a member; resets the send count if it is queued already. */
    void addMember(const std::string &host);

    /** Queues a configuration change; replaces a queued change of the same object. */
    void addChange(const change_announcement &change);

    /**
     * Adds queued updates to a datagram.
     * @param bytes Maximum size of the whole message.
     * @param maxSends Number of sends after which an update is dropped.
     */
    void fill(wire::Gossip &message, std::size_t bytes, std::uint32_t maxSends, const record_lookup &records);

    std::size_t size() const;

private:
    /** A member record, named by `host`, if `change.kind` is empty; otherwise a configuration change. */
    struct queued_update {
        std::string host;
        change_announcement change;
        std::uint32_t sent = 0;
    };
    using item_key = std::string;

    void add(const item_key &key, queued_update item);
    bool write(const queued_update &item, wire::Gossip &message, std::size_t &room, const record_lookup &records);
    void countSent(const item_key &key, std::uint32_t maxSends);

    std::map<item_key, queued_update> m_items;
    std::set<std::pair<std::uint32_t, item_key>> m_order; ///< Ordered by the number of sends.
};

} // namespace cicadamux::detail
