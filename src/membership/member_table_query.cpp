/** @file member_table_query.cpp Membership table: queries. */

#include "core/hash_func.h"
#include "membership/member_table_state.h"

#include <algorithm>

namespace cicadamux
{

using namespace detail;

std::vector<const member_entry *> member_table::state::selected(const member_filter &filter) const
{
    std::vector<const member_entry *> result;
    const auto addFrom = [&](const std::vector<member_entry *> &entries) {
        for (const member_entry *entry : entries) {
            if (filter.services.empty() || std::ranges::find(filter.services, entry->record.service) != filter.services.end()) {
                result.push_back(entry);
            }
        }
    };
    if (!filter.dataCenter.empty()) {
        addFrom(store.membersOf(filter.dataCenter));
        return result;
    }
    for (const auto &[name, entries] : store.byDataCenter()) {
        addFrom(entries);
    }
    return result;
}

bool member_table::state::isLiveAddress(std::string_view address) const
{
    return std::ranges::any_of(store.byDataCenter(), [&](const auto &item) {
        return std::ranges::any_of(item.second, [&](const member_entry *entry) {
            return isLive(entry->record.state) && entry->record.peerAddress == address;
        });
    });
}

std::vector<std::string> member_table::state::randomPeers(std::string_view where, std::size_t maxCount, std::string_view excludedHost) const
{
    std::vector<std::string> result;
    const auto &entries = store.membersOf(where);
    const std::size_t attempts = entries.empty() ? 0 : 8 * maxCount;
    for (std::size_t attempt = 0; attempt < attempts && result.size() < maxCount; ++attempt) {
        const member_record &record = entries[randomBelow(entries.size())]->record;
        const bool isUsable = isLive(record.state) && record.host != selfHost && record.host != excludedHost;
        if (isUsable && std::ranges::find(result, record.peerAddress) == result.end()) {
            result.push_back(record.peerAddress);
        }
    }
    return result;
}

bool member_table::state::holdsDuty(std::string_view duty, std::size_t holders) const
{
    if (dutiesPausedUntil || selfEntry().record.state != member_state::alive) {
        return false;
    }
    const auto cached = dutyPositions.find(duty);
    if (cached != dutyPositions.end() && cached->second.first == store.liveVersion()) {
        return cached->second.second < holders;
    }
    const std::uint64_t dutyHash = hashBytes(duty);
    const std::uint64_t own = hashBytes(selfHost, dutyHash);
    std::size_t betterCandidates = 0;
    for (const member_entry *entry : store.membersOf(dataCenter)) {
        const bool isCandidate = entry->record.state == member_state::alive && entry->record.host != selfHost;
        betterCandidates += isCandidate && hashBytes(entry->record.host, dutyHash) > own ? 1 : 0;
    }
    dutyPositions[std::string(duty)] = {store.liveVersion(), betterCandidates};
    return betterCandidates < holders;
}

std::vector<std::uint64_t> member_table::digests(const member_filter &filter, std::size_t parts) const
{
    std::vector<std::uint64_t> result(parts, 0);
    for (const member_entry *entry : m_state->selected(filter)) {
        if (isLive(entry->record.state)) {
            result[entry->bucket % parts] ^= entry->recordHash;
        }
    }
    return result;
}

std::vector<member_record> member_table::recordsOf(const member_filter &filter, std::uint64_t buckets) const
{
    std::vector<member_record> result;
    for (const member_entry *entry : m_state->selected(filter)) {
        if (((buckets >> entry->bucket) & 1U) != 0) {
            result.push_back(m_state->currentRecord(*entry));
        }
    }
    return result;
}

std::vector<member_record> member_table::records() const
{
    return recordsOf({}, ~std::uint64_t{0});
}

std::vector<member_record> member_table::view() const
{
    std::vector<member_record> result;
    result.reserve(m_state->store.size());
    for (const member_entry *entry : m_state->selected({})) {
        if (isLive(entry->record.state)) {
            result.push_back(m_state->currentRecord(*entry));
        }
    }
    return result;
}

bool member_table::holdsDuty(std::string_view duty, std::size_t holders) const
{
    return m_state->holdsDuty(duty, holders);
}

std::string member_table::randomPeer(std::string_view dataCenter) const
{
    const auto peers = m_state->randomPeers(dataCenter, 1, {});
    return peers.empty() ? std::string() : peers.front();
}

std::vector<std::string> member_table::dataCenters() const
{
    std::vector<std::string> result;
    for (const auto &[name, entries] : m_state->store.byDataCenter()) {
        if (m_state->store.liveCount(name) > 0) {
            result.push_back(name);
        }
    }
    return result;
}

} // namespace cicadamux
