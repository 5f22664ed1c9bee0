/** @file update_queue.cpp Updates piggybacked on gossip datagrams. */

#include "membership/update_queue_base.h"

#include "membership/member_wire_func.h"

#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace cicadamux::detail
{

namespace
{
constexpr std::size_t maxItems = 8'192; ///< Capacity; when it is exceeded, the update sent most often is dropped.
constexpr std::size_t fieldOverhead = 4; ///< Maximum bytes of the tag and length of a field.
constexpr int maxMisfits = 4; ///< A datagram counts as full once this many updates were too large for the remaining space.
constexpr char keySeparator = '\n'; ///< Does not occur in a host or kind.
} // namespace

void update_queue::addMember(const std::string &host)
{
    add(host, {host, {}, 0});
}

void update_queue::addChange(const change_announcement &change)
{
    add(change.kind + keySeparator + change.name, {{}, change, 0});
}

void update_queue::add(const item_key &key, queued_update item)
{
    const auto found = m_items.find(key);
    if (found != m_items.end()) {
        m_order.erase({found->second.sent, key});
    }
    m_items[key] = std::move(item);
    m_order.insert({0, key});
    if (m_items.size() > maxItems) {
        const auto last = std::prev(m_order.end());
        m_items.erase(last->second);
        m_order.erase(last);
    }
}

bool update_queue::write(const queued_update &item, wire::Gossip &message, std::size_t &room, const record_lookup &records)
{
    wire::Member member;
    wire::Object_Generation change;
    std::size_t size = fieldOverhead;
    if (item.change.kind.empty()) {
        writeMember(*records(item.host), member);
        size += member.ByteSizeLong();
    } else {
        writeChange(item.change, change);
        size += change.ByteSizeLong();
    }
    if (size > room) {
        return false;
    }
    room -= size;
    if (item.change.kind.empty()) {
        *message.add_members() = std::move(member);
    } else {
        *message.add_changes() = std::move(change);
    }
    return true;
}

void update_queue::fill(wire::Gossip &message, std::size_t bytes, std::uint32_t maxSends, const record_lookup &records)
{
    const std::size_t used = message.ByteSizeLong();
    std::size_t room = bytes > used ? bytes - used : 0;
    std::vector<item_key> writtenKeys;
    std::vector<item_key> unknownKeys;
    int misfits = 0;
    for (const auto &[sent, key] : m_order) {
        const queued_update &item = m_items.at(key);
        if (item.change.kind.empty() && records(item.host) == nullptr) {
            unknownKeys.push_back(key);
        } else if (write(item, message, room, records)) {
            writtenKeys.push_back(key);
        } else if (++misfits >= maxMisfits) {
            break;
        }
    }
    for (const item_key &key : unknownKeys) {
        countSent(key, 0);
    }
    for (const item_key &key : writtenKeys) {
        countSent(key, maxSends);
    }
}

void update_queue::countSent(const item_key &key, std::uint32_t maxSends)
{
    const auto found = m_items.find(key);
    m_order.erase({found->second.sent, key});
    ++found->second.sent;
    if (found->second.sent >= maxSends) {
        m_items.erase(found);
        return;
    }
    m_order.insert({found->second.sent, key});
}

std::size_t update_queue::size() const
{
    return m_items.size();
}

} // namespace cicadamux::detail
