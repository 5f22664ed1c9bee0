/** @file refusal_log.cpp Ring buffer of refusals, and numbers of refusals for each second. */

#include "operator/refusal_log_base.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace cicadamux
{

namespace
{
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::uint32_t otherKey = 0; ///< Index of the key `other`.

/** Numbers of refusals in one second, by the index of their key. */
struct second_counts {
    std::int64_t second = -1; ///< Seconds since the Unix epoch; -1 if unused.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> counts; ///< Index of the key, number of refusals.
};

bool matches(const refusal_key &key, std::string_view service)
{
    return service.empty() || key.service == service;
}
} // namespace

struct refusal_log::state {
    mutable std::mutex mutex;
    const std::size_t capacity;
    const clock_ms started;
    clock_ms last; ///< Wall clock of the latest record.
    std::vector<refusal_record> ring;
    std::size_t next = 0; ///< Position of the next record once the ring is full.
    std::map<refusal_key, std::uint32_t> indexes;
    std::vector<refusal_key> keys;
    std::vector<second_counts> seconds{refusalSeconds};

    state(std::size_t ringCapacity, clock_ms start)
        : capacity(std::max<std::size_t>(ringCapacity, 1))
        , started(start)
        , last(start)
        , keys{refusal_key{"other", rank_id::invalid(), "other", outcome_reason::none}}
    {
    }

    std::uint32_t indexOf(const refusal_key &key)
    {
        const auto found = indexes.find(key);
        if (found != indexes.end()) {
            return found->second;
        }
        if (keys.size() >= maxRefusalKeys) {
            return otherKey;
        }
        const auto index = static_cast<std::uint32_t>(keys.size());
        keys.push_back(key);
        indexes.emplace(key, index);
        return index;
    }

    second_counts &secondAt(clock_ms at)
    {
        const std::int64_t second = at.count / msPerSecond;
        second_counts &slot = seconds[static_cast<std::size_t>(second) % refusalSeconds];
        if (slot.second != second) {
            slot.second = second;
            slot.counts.clear();
        }
        return slot;
    }

    void count(std::uint32_t key, clock_ms at)
    {
        auto &counts = secondAt(at).counts;
        auto found = std::ranges::find(counts, key, &std::pair<std::uint32_t, std::uint32_t>::first);
        if (found == counts.end() && counts.size() + 1 >= maxKeysPerSecond) {
            found = std::ranges::find(counts, otherKey, &std::pair<std::uint32_t, std::uint32_t>::first);
            key = otherKey;
        }
        if (found == counts.end()) {
            counts.emplace_back(key, 1);
        } else {
            ++found->second;
        }
    }

    void store(refusal_record record)
    {
        if (ring.size() < capacity) {
            ring.push_back(std::move(record));
            return;
        }
        ring[next] = std::move(record);
        next = (next + 1) % capacity;
    }

    /** @return The record at a position from the oldest, which has position 0. */
    const refusal_record &at(std::size_t position) const
    {
        return ring[(next + position) % ring.size()];
    }

    clock_ms reachOfRecords(clock_ms wallNow) const
    {
        return wallNow - (ring.size() < capacity ? started : at(0).at);
    }
};

refusal_log::refusal_log(std::size_t capacity, clock_ms started)
    : m_state(std::make_unique<state>(capacity, started))
{
}

refusal_log::~refusal_log() = default;

void refusal_log::add(refusal_record record, clock_ms wallNow)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->last = std::max(m_state->last, wallNow);
    record.at = m_state->last;
    m_state->count(m_state->indexOf({record.service, record.rank, record.callClass, record.reason}), m_state->last);
    m_state->store(std::move(record));
}

refusal_summary refusal_log::summarize(std::string_view service, clock_ms span, clock_ms wallNow) const
{
    const std::lock_guard lock(m_state->mutex);
    const std::int64_t last = std::max(wallNow, m_state->last).count / msPerSecond;
    const std::int64_t spanSeconds = std::clamp<std::int64_t>((span.count + msPerSecond - 1) / msPerSecond, 1, refusalSeconds);
    std::map<std::uint32_t, std::uint64_t> sums;
    for (const second_counts &slot : m_state->seconds) {
        if (slot.second <= last - spanSeconds || slot.second > last) {
            continue;
        }
        for (const auto &[key, count] : slot.counts) {
            sums[key] += count;
        }
    }
    refusal_summary summary;
    for (const auto &[index, count] : sums) {
        if (matches(m_state->keys[index], service)) {
            summary.counts.push_back({m_state->keys[index], count});
        }
    }
    std::ranges::sort(summary.counts, {}, &refusal_count::key);
    const std::int64_t covered = std::min(spanSeconds * msPerSecond, std::max<std::int64_t>(0, (wallNow - m_state->started).count));
    summary.reach = {covered};
    return summary;
}

refusal_trace refusal_log::trace(root_id root, clock_ms wallNow) const
{
    const std::lock_guard lock(m_state->mutex);
    refusal_trace found;
    found.reach = m_state->reachOfRecords(wallNow);
    for (std::size_t position = 0; position < m_state->ring.size(); ++position) {
        if (m_state->at(position).root == root) {
            found.records.push_back(m_state->at(position));
        }
    }
    return found;
}

std::vector<refusal_record> refusal_log::latest(std::string_view service, std::size_t maxCount) const
{
    const std::lock_guard lock(m_state->mutex);
    std::vector<refusal_record> found;
    for (std::size_t position = m_state->ring.size(); position > 0 && found.size() < maxCount; --position) {
        const refusal_record &record = m_state->at(position - 1);
        if (service.empty() || record.service == service) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace cicadamux
