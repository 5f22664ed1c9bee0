/** @file level_cache.cpp Cache of the admission levels of other gates. */

#include "admission/level_cache_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace cicadamux
{

namespace
{
constexpr clock_ms levelLifetime{1'000}; ///< An older level is ignored.
constexpr std::size_t shardCount = 16;
constexpr std::size_t maxServicesPerShard = 64;
constexpr std::size_t maxGatesPerService = 64;
constexpr std::uint64_t probeSeed = 0x9b0be; ///< Makes the choice of probes independent of the sub-level.
constexpr std::uint64_t rootsPerProbe = 50; ///< One of this many roots is never refused early, to probe whether the level still holds.

struct gate_entry {
    std::string host;
    gate_level level;
    clock_ms measuredAt; ///< On the clock of this daemon.
};

using gate_entries = std::vector<gate_entry>;

struct cache_shard {
    mutable std::mutex mutex;
    std::map<std::string, gate_entries, std::less<>> services;
};

bool isCurrent(const gate_entry &entry, clock_ms now)
{
    return now - entry.measuredAt < levelLifetime;
}

bool refuses(const gate_level &level, rank_id rank, std::uint16_t subLevel)
{
    if (!level.rank.isValid() || rank < level.rank) {
        return false;
    }
    return rank > level.rank || subLevel >= level.subLevel;
}

bool isProbe(root_id root)
{
    return hashNumber(root.value, probeSeed) % rootsPerProbe == 0;
}

clock_ms latestMeasurement(const gate_entries &entries)
{
    clock_ms result;
    for (const gate_entry &entry : entries) {
        result = std::max(result, entry.measuredAt);
    }
    return result;
}

void evictOldestService(cache_shard &shard)
{
    if (shard.services.size() < maxServicesPerShard) {
        return;
    }
    const auto oldest = std::ranges::min_element(shard.services, {}, [](const auto &service) {
        return latestMeasurement(service.second);
    });
    shard.services.erase(oldest);
}

void insertOrUpdate(gate_entries &entries, gate_entry entry)
{
    const auto known = std::ranges::find(entries, entry.host, &gate_entry::host);
    if (known != entries.end()) {
        if (entry.measuredAt >= known->measuredAt) {
            *known = std::move(entry);
        }
        return;
    }
    if (entries.size() < maxGatesPerService) {
        entries.push_back(std::move(entry));
        return;
    }
    const auto oldest = std::ranges::min_element(entries, {}, &gate_entry::measuredAt);
    if (oldest->measuredAt < entry.measuredAt) {
        *oldest = std::move(entry);
    }
}

/** @return The least urgent rank admitted by any gate if all gates with a current level refuse the call; nothing otherwise. */
std::optional<rank_id> refusedByAll(const gate_entries &entries, rank_id rank, std::uint16_t subLevel, clock_ms now)
{
    std::optional<rank_id> admitted;
    for (const gate_entry &entry : entries) {
        if (!isCurrent(entry, now)) {
            continue;
        }
        if (!refuses(entry.level, rank, subLevel)) {
            return std::nullopt;
        }
        admitted = admitted ? std::max(*admitted, entry.level.rank) : entry.level.rank;
    }
    return admitted;
}

bool isYounger(const received_level &left, const received_level &right)
{
    return left.age < right.age;
}

void pushIfNewer(std::vector<received_level> &heap, std::size_t maxCount, const std::string &service, const gate_entry &entry, clock_ms now)
{
    const clock_ms age = now - entry.measuredAt;
    if (heap.size() >= maxCount) {
        if (heap.front().age <= age) {
            return;
        }
        std::ranges::pop_heap(heap, isYounger);
        heap.pop_back();
    }
    heap.push_back({service, entry.host, entry.level, age});
    std::ranges::push_heap(heap, isYounger);
}
} // namespace

struct level_cache::state {
    std::array<cache_shard, shardCount> shards;

    cache_shard &shardOf(std::string_view service)
    {
        return shards.at(hashBytes(service) % shardCount);
    }
};

level_cache::level_cache()
    : m_state(std::make_unique<state>())
{
}

level_cache::~level_cache() = default;

void level_cache::record(const received_level &received, clock_ms now)
{
    gate_entry entry{received.host, received.level, now - std::max(received.age, clock_ms{})};
    if (!isCurrent(entry, now)) {
        return;
    }
    cache_shard &shard = m_state->shardOf(received.service);
    const std::lock_guard lock(shard.mutex);
    auto found = shard.services.find(received.service);
    if (found == shard.services.end()) {
        evictOldestService(shard);
        found = shard.services.emplace(received.service, gate_entries{}).first;
    }
    insertOrUpdate(found->second, std::move(entry));
}

early_refusal level_cache::check(std::span<const std::string> services, rank_id rank, root_id root, bool isProtected, clock_ms now) const
{
    if (isProtected || isProbe(root)) {
        return {};
    }
    const std::uint16_t subLevel = subLevelOf(root);
    for (const std::string &service : services) {
        const cache_shard &shard = m_state->shardOf(service);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.services.find(service);
        if (found == shard.services.end()) {
            continue;
        }
        const std::optional<rank_id> admitted = refusedByAll(found->second, rank, subLevel, now);
        if (admitted) {
            return {true, service, admitted->value};
        }
    }
    return {};
}

std::vector<received_level> level_cache::currentLevels(clock_ms now, std::size_t maxCount) const
{
    std::vector<received_level> heap;
    if (maxCount == 0) {
        return heap;
    }
    for (const cache_shard &shard : m_state->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[service, entries] : shard.services) {
            for (const gate_entry &entry : entries) {
                if (isCurrent(entry, now)) {
                    pushIfNewer(heap, maxCount, service, entry, now);
                }
            }
        }
    }
    std::ranges::sort_heap(heap, isYounger);
    return heap;
}

} // namespace cicadamux
