/** @file member_store.cpp Member records, indexed by host and by data centre. */

#include "membership/member_store_base.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"

#include <tuple>

namespace cicadamux::detail
{

namespace
{
auto versionOf(const member_record &record)
{
    return std::tuple(record.incarnation, record.revision, record.state);
}

std::uint64_t digestOf(const member_record &record)
{
    return hashNumber(record.revision, hashNumber(record.incarnation.value, hashBytes(record.host)));
}
} // namespace

member_store::member_store(std::size_t maxMembers)
    : m_maxMembers(maxMembers)
{
}

merge_result member_store::merge(const member_record &record, clock_ms now)
{
    member_entry *held = find(record.host);
    if (held == nullptr) {
        if (m_entries.size() >= m_maxMembers) {
            return merge_result::refused;
        }
        insert(record, now);
        return merge_result::newer;
    }
    if (record.incarnation < held->record.incarnation) {
        return merge_result::refused;
    }
    if (versionOf(record) == versionOf(held->record)) {
        return merge_result::same;
    }
    if (versionOf(record) < versionOf(held->record)) {
        return merge_result::older;
    }
    replace(*held, record, now);
    return merge_result::newer;
}

void member_store::insert(const member_record &record, clock_ms now)
{
    member_entry &entry = m_entries[record.host];
    entry.record = record;
    entry.bucket = static_cast<std::uint32_t>(hashBytes(record.host) % memberBuckets);
    link(entry);
    entry.changedAt = now;
    entry.deadAt = now;
    entry.recordHash = digestOf(record);
    countLive(record, 1);
    ++m_liveVersion;
}

void member_store::replace(member_entry &entry, const member_record &record, clock_ms now)
{
    checkInvariant(record.incarnation >= entry.record.incarnation, invariant::incarnation_monotonic, record.host);
    const member_state before = entry.record.state;
    const bool moves = entry.record.dataCenter != record.dataCenter;
    countLive(entry.record, -1);
    if (moves) {
        unlink(entry);
    }
    entry.record = record;
    if (moves) {
        link(entry);
    }
    countLive(record, 1);
    entry.changedAt = now;
    entry.recordHash = digestOf(record);
    if (record.state != before) {
        entry.deadAt = now;
    }
    if (record.state != before || moves) {
        ++m_liveVersion;
    }
}

member_entry *member_store::find(std::string_view host)
{
    const auto found = m_entries.find(std::string(host));
    return found == m_entries.end() ? nullptr : &found->second;
}

const member_entry *member_store::find(std::string_view host) const
{
    const auto found = m_entries.find(std::string(host));
    return found == m_entries.end() ? nullptr : &found->second;
}

void member_store::erase(std::string_view host)
{
    const auto found = m_entries.find(std::string(host));
    if (found == m_entries.end()) {
        return;
    }
    countLive(found->second.record, -1);
    unlink(found->second);
    m_entries.erase(found);
    ++m_liveVersion;
}

void member_store::link(member_entry &entry)
{
    auto &list = m_dataCenters[entry.record.dataCenter];
    entry.position = list.size();
    list.push_back(&entry);
}

void member_store::unlink(member_entry &entry)
{
    auto &list = m_dataCenters[entry.record.dataCenter];
    list[entry.position] = list.back();
    list[entry.position]->position = entry.position;
    list.pop_back();
    if (list.empty()) {
        m_dataCenters.erase(entry.record.dataCenter);
    }
}

void member_store::countLive(const member_record &record, int difference)
{
    if (isLive(record.state)) {
        m_liveCounts[record.dataCenter] += static_cast<std::size_t>(difference);
    }
}

const std::vector<member_entry *> &member_store::membersOf(std::string_view dataCenter) const
{
    static const std::vector<member_entry *> none;
    const auto found = m_dataCenters.find(dataCenter);
    return found == m_dataCenters.end() ? none : found->second;
}

const std::map<std::string, std::vector<member_entry *>, std::less<>> &member_store::byDataCenter() const
{
    return m_dataCenters;
}

std::size_t member_store::size() const
{
    return m_entries.size();
}

std::size_t member_store::liveCount(std::string_view dataCenter) const
{
    const auto found = m_liveCounts.find(dataCenter);
    return found == m_liveCounts.end() ? 0 : found->second;
}

std::uint64_t member_store::liveVersion() const
{
    return m_liveVersion;
}

} // namespace cicadamux::detail
