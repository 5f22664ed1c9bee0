/** @file news_queue_base.h News that ride on datagrams, each sent a bounded number of times. */

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

/** Gives the record of a host, as it is to be sent; null if it isn't known any more. */
using record_source = std::function<const member_record *(const std::string &host)>;

/** The least often sent news go first (SWIM, section 4.1), up to a number of times that the owner sets. */
class news_queue
{
public:
    /** Adds or renews the news about a member. */
    void addMember(const std::string &host);

    /** Adds a change of configuration; it replaces an earlier one of the same object. */
    void addChange(const change_announcement &change);

    /**
     * Fills a datagram with news.
     * @param bytes Greatest size of the whole message.
     * @param sends How often an item is sent until it is dropped.
     */
    void fill(wire::Gossip &message, std::size_t bytes, std::uint32_t sends, const record_source &records);

    std::size_t size() const;

private:
    /** One item; a member if `change.kind` is empty. */
    struct news_item {
        std::string host;
        change_announcement change;
        std::uint32_t sent = 0;
    };
    using item_key = std::string;

    void add(const item_key &key, news_item item);
    bool write(const news_item &item, wire::Gossip &message, std::size_t &room, const record_source &records);
    void countSent(const item_key &key, std::uint32_t sends);

    std::map<item_key, news_item> m_items;
    std::set<std::pair<std::uint32_t, item_key>> m_order; ///< By how often an item was sent.
};

} // namespace cicadamux::detail
