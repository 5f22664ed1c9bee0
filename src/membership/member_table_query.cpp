/** @file member_table_query.cpp A daemon's view of the fleet: questions to it. */

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
        addFrom(store.of(filter.dataCenter));
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

std::vector<std::string> member_table::state::randomPeers(std::string_view where, std::size_t most, std::string_view without) const
{
    std::vector<std::string> result;
    const auto &entries = store.of(where);
    const std::size_t attempts = entries.empty() ? 0 : 8 * most;
    for (std::size_t attempt = 0; attempt < attempts && result.size() < most; ++attempt) {
        const member_record &record = entries[below(entries.size())]->record;
        const bool isUsable = isLive(record.state) && record.host != selfHost && record.host != without;
        if (isUsable && std::ranges::find(result, record.peerAddress) == result.end()) {
            result.push_back(record.peerAddress);
        }
    }
    return result;
}

bool member_table::state::holdsDuty(std::string_view duty, std::size_t holders) const
{
    if (restsUntil || selfEntry().record.state != member_state::alive) {
        return false;
    }
    const auto cached = duties.find(duty);
    if (cached != duties.end() && cached->second.first == store.liveVersion()) {
        return cached->second.second < holders;
    }
    const std::uint64_t dutyHash = hashBytes(duty);
    const std::uint64_t own = hashBytes(selfHost, dutyHash);
    std::size_t greater = 0;
    for (const member_entry *entry : store.of(dataCenter)) {
        const bool isCandidate = entry->record.state == member_state::alive && entry->record.host != selfHost;
        greater += isCandidate && hashBytes(entry->record.host, dutyHash) > own ? 1 : 0;
    }
    duties[std::string(duty)] = {store.liveVersion(), greater};
    return greater < holders;
}

std::vector<std::uint64_t> member_table::digests(const member_filter &filter, std::size_t parts) const
{
    std::vector<std::uint64_t> result(parts, 0);
    for (const member_entry *entry : m_state->selected(filter)) {
        if (isLive(entry->record.state)) {
            result[entry->bucket % parts] ^= entry->digestPart;
        }
    }
    return result;
}

std::vector<member_record> member_table::recordsOf(const member_filter &filter, std::uint64_t buckets) const
{
    std::vector<member_record> result;
    for (const member_entry *entry : m_state->selected(filter)) {
        if (((buckets >> entry->bucket) & 1U) != 0) {
            result.push_back(m_state->aged(*entry));
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
            result.push_back(m_state->aged(*entry));
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
