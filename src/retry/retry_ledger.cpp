/** @file retry_ledger.cpp Accounts of extra attempts: lent to child calls, spent by repeats, returned with answers. */

#include "retry/retry_ledger_base.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

namespace
{
constexpr std::size_t shardCount = 64; ///< Each has its own lock; two calls share one with a probability of 1 in 64.
constexpr std::size_t maxChildKeys = 256; ///< Distinct children recorded for one parent; any further child counts as a repeat.

/** Allowance of extra attempts of one call. Invariant: `remaining + lent + spent == initial`. */
struct call_account {
    std::uint32_t initial = 0; ///< Allowance received with the call.
    std::uint32_t remaining = 0; ///< Neither spent nor lent.
    std::uint32_t lent = 0; ///< Held by child calls in flight.
    std::uint32_t spent = 0; ///< Used here or by child calls, or lost with their answers.
    std::vector<std::uint64_t> children; ///< Hashes of the distinct child calls so far.
};

struct ledger_shard {
    mutable std::mutex mutex;
    std::unordered_map<call_id, call_account> calls;
};

void checkBound(const call_account &account)
{
    const std::uint64_t accounted = std::uint64_t{account.remaining} + account.lent + account.spent;
    checkInvariant(accounted == account.initial, invariant::retry_bound, "remaining, lent and spent extra attempts of a call do not add up to its allowance");
}

bool drawOne(call_account &account)
{
    if (account.remaining == 0) {
        return false;
    }
    --account.remaining;
    ++account.spent;
    return true;
}

std::uint32_t allowanceToLend(std::uint32_t remaining, allowance_share lent)
{
    switch (lent) {
    case allowance_share::half:
        return remaining - remaining / 2;
    case allowance_share::all:
        return remaining;
    case allowance_share::none:
        break;
    }
    return 0;
}

std::uint32_t lendAllowance(call_account &account, allowance_share lent)
{
    const std::uint32_t allowance = allowanceToLend(account.remaining, lent);
    account.remaining -= allowance;
    account.lent += allowance;
    return allowance;
}

/** Records a child call. @return Whether it was recorded before, or maxChildKeys is reached. */
bool isRepeatedChild(call_account &account, std::uint64_t key)
{
    if (std::ranges::find(account.children, key) != account.children.end()) {
        return true;
    }
    if (account.children.size() >= maxChildKeys) {
        return true;
    }
    account.children.push_back(key);
    return false;
}
} // namespace

struct retry_ledger::state {
    std::array<ledger_shard, shardCount> shards;

    ledger_shard &shardOf(call_id call)
    {
        return shards.at(hashNumber(call.value) % shardCount);
    }
};

child_key makeChildKey(std::string_view service, std::string_view operation, std::string_view method, std::string_view target, std::string_view body)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : {service, operation, method, target, body}) {
        hash = hashBytes(part, hashNumber(part.size(), hash));
    }
    return {hash};
}

retry_ledger::retry_ledger()
    : m_state(std::make_unique<state>())
{
}

retry_ledger::~retry_ledger() = default;

void retry_ledger::open(call_id call, std::uint32_t allowance)
{
    ledger_shard &shard = m_state->shardOf(call);
    const std::lock_guard lock(shard.mutex);
    call_account opened;
    opened.initial = allowance;
    opened.remaining = allowance;
    shard.calls.try_emplace(call, std::move(opened));
}

bool retry_ledger::spend(call_id call)
{
    ledger_shard &shard = m_state->shardOf(call);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(call);
    if (found == shard.calls.end()) {
        return false;
    }
    const bool drawn = drawOne(found->second);
    checkBound(found->second);
    return drawn;
}

child_grant retry_ledger::openChild(call_id parent, child_key key, allowance_share lent)
{
    ledger_shard &shard = m_state->shardOf(parent);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(parent);
    child_grant grant;
    if (found == shard.calls.end()) {
        return grant;
    }
    call_account &account = found->second;
    grant.isRepeat = isRepeatedChild(account, key.hash);
    grant.allowed = !grant.isRepeat || drawOne(account);
    if (grant.allowed) {
        grant.allowance = lendAllowance(account, lent);
    }
    checkBound(account);
    return grant;
}

void retry_ledger::closeChild(call_id parent, std::uint32_t allowance, std::uint32_t unspent)
{
    ledger_shard &shard = m_state->shardOf(parent);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(parent);
    if (found == shard.calls.end()) {
        return;
    }
    call_account &account = found->second;
    checkInvariant(allowance <= account.lent, invariant::retry_bound, "a child call returned more extra attempts than were lent");
    const std::uint32_t ended = std::min(allowance, account.lent);
    const std::uint32_t returned = std::min(unspent, ended);
    account.lent -= ended;
    account.remaining += returned;
    account.spent += ended - returned;
    checkBound(account);
}

std::uint32_t retry_ledger::remaining(call_id call) const
{
    const ledger_shard &shard = m_state->shardOf(call);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(call);
    return found == shard.calls.end() ? 0 : found->second.remaining;
}

std::uint32_t retry_ledger::close(call_id call)
{
    ledger_shard &shard = m_state->shardOf(call);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(call);
    if (found == shard.calls.end()) {
        return 0;
    }
    checkBound(found->second);
    const std::uint32_t unspent = found->second.remaining;
    shard.calls.erase(found);
    return unspent;
}

} // namespace cicadamux
