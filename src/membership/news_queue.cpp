/** @file news_queue.cpp News that ride on datagrams. */

#include "membership/news_queue_base.h"

#include "membership/member_wire_func.h"

#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace cicadamux::detail
{

namespace
{
constexpr std::size_t maxItems = 8'192; ///< News held; the most often sent is dropped beyond.
constexpr std::size_t fieldOverhead = 4; ///< Greatest bytes of a field's tag and length.
constexpr int maxMisfits = 4; ///< Items that may be too large for the rest of a datagram until it counts as full.
constexpr char keySeparator = '\n'; ///< Never part of a host or kind.
} // namespace

void news_queue::addMember(const std::string &host)
{
    add(host, {host, {}, 0});
}

void news_queue::addChange(const change_announcement &change)
{
    add(change.kind + keySeparator + change.name, {{}, change, 0});
}

void news_queue::add(const item_key &key, news_item item)
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

bool news_queue::write(const news_item &item, wire::Gossip &message, std::size_t &room, const record_source &records)
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

void news_queue::fill(wire::Gossip &message, std::size_t bytes, std::uint32_t sends, const record_source &records)
{
    const std::size_t used = message.ByteSizeLong();
    std::size_t room = bytes > used ? bytes - used : 0;
    std::vector<item_key> written;
    std::vector<item_key> forgotten;
    int misfits = 0;
    for (const auto &[sent, key] : m_order) {
        const news_item &item = m_items.at(key);
        if (item.change.kind.empty() && records(item.host) == nullptr) {
            forgotten.push_back(key);
        } else if (write(item, message, room, records)) {
            written.push_back(key);
        } else if (++misfits >= maxMisfits) {
            break;
        }
    }
    for (const item_key &key : forgotten) {
        countSent(key, 0);
    }
    for (const item_key &key : written) {
        countSent(key, sends);
    }
}

void news_queue::countSent(const item_key &key, std::uint32_t sends)
{
    const auto found = m_items.find(key);
    m_order.erase({found->second.sent, key});
    ++found->second.sent;
    if (found->second.sent >= sends) {
        m_items.erase(found);
        return;
    }
    m_order.insert({found->second.sent, key});
}

std::size_t news_queue::size() const
{
    return m_items.size();
}

} // namespace cicadamux::detail
