/** @file caller_budget.cpp Budget of retries by external callers, like the client-side retry budget in the SRE book (ch. 21). */

#include "retry/caller_budget_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <array>
#include <list>
#include <mutex>
#include <unordered_map>

namespace cicadamux
{

namespace
{
constexpr std::size_t shardCount = 16; ///< Each has its own lock.
constexpr std::size_t maxCallers = 1'024; ///< Per shard; the least recently used is evicted.
constexpr std::size_t maxRequests = 4'096; ///< Unanswered requests per shard; the least recently recorded is evicted.
constexpr clock_ms unansweredLifetime{10'000}; ///< Time within which the same request counts as a repeat.
constexpr std::uint32_t repeatCost = 100; ///< Credit spent by one repeat.
constexpr std::uint32_t firstAttemptCredit = 10; ///< Credit earned by one first attempt: 10 repeats per 100 first attempts.
constexpr std::uint32_t initialCredit = 3 * repeatCost; ///< Credit of a caller that is new or was evicted.
constexpr std::uint32_t maxCredit = 20 * repeatCost; ///< Maximum credit of a caller.

/** Bounded map that evicts the least recently used entry. */
template<typename Value>
class lru_map
{
public:
    explicit lru_map(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    Value *find(std::uint64_t key)
    {
        const auto found = m_index.find(key);
        return found == m_index.end() ? nullptr : &found->second->second;
    }

    /** Finds or creates an entry and marks it as most recently used. */
    Value &findOrInsert(std::uint64_t key, const Value &initial)
    {
        const auto found = m_index.find(key);
        if (found != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            return found->second->second;
        }
        if (m_index.size() >= m_capacity) {
            m_index.erase(m_entries.back().first);
            m_entries.pop_back();
        }
        m_entries.emplace_front(key, initial);
        m_index[key] = m_entries.begin();
        return m_entries.front().second;
    }

private:
    using entry_list = std::list<std::pair<std::uint64_t, Value>>;

    std::size_t m_capacity;
    entry_list m_entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, typename entry_list::iterator> m_index;
};

struct budget_shard {
    std::mutex mutex;
    lru_map<std::uint32_t> credits{maxCallers}; ///< By hash of the caller.
    lru_map<clock_ms> unanswered{maxRequests}; ///< Time of the last record, by hash of caller and request.
};

bool isRepeat(budget_shard &shard, std::uint64_t request, clock_ms now)
{
    const clock_ms *recordedAt = shard.unanswered.find(request);
    return recordedAt != nullptr && now - *recordedAt < unansweredLifetime;
}
} // namespace

struct caller_budget::state {
    std::array<budget_shard, shardCount> shards;
};

caller_budget::caller_budget()
    : m_state(std::make_unique<state>())
{
}

caller_budget::~caller_budget() = default;

bool caller_budget::admit(std::string_view caller, std::uint64_t requestHash, clock_ms now)
{
    const std::uint64_t callerHash = hashBytes(caller);
    budget_shard &shard = m_state->shards.at(callerHash % shardCount);
    const std::lock_guard lock(shard.mutex);
    std::uint32_t &credit = shard.credits.findOrInsert(callerHash, initialCredit);
    if (!isRepeat(shard, hashNumber(requestHash, callerHash), now)) {
        credit = std::min(credit + firstAttemptCredit, maxCredit);
        return true;
    }
    if (credit < repeatCost) {
        return false;
    }
    credit -= repeatCost;
    return true;
}

void caller_budget::recordUnanswered(std::string_view caller, std::uint64_t requestHash, clock_ms now)
{
    const std::uint64_t callerHash = hashBytes(caller);
    budget_shard &shard = m_state->shards.at(callerHash % shardCount);
    const std::lock_guard lock(shard.mutex);
    shard.unanswered.findOrInsert(hashNumber(requestHash, callerHash), now) = now;
}

} // namespace cicadamux
