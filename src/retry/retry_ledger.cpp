/** @file retry_ledger.cpp Allowances of held calls: lent to children, spent by repeats, returned with answers. */

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
constexpr std::size_t shardCount = 64; ///< Locks; two calls share one with a chance of 1 in 64.
constexpr std::size_t maxChildKeys = 256; ///< Distinct children remembered for one parent; any further child counts as a repeat.

/** One held call. At any time `left + lent + spent == brought`. */
struct held_call {
    std::uint32_t brought = 0; ///< Allowance that came with the call.
    std::uint32_t left = 0; ///< Neither spent nor lent.
    std::uint32_t lent = 0; ///< With children that haven't come back.
    std::uint32_t spent = 0; ///< Drawn here, or by children, or lost with their answers.
    std::vector<std::uint64_t> children; ///< Hashes of the distinct children so far.
};

struct ledger_shard {
    mutable std::mutex mutex;
    std::unordered_map<call_id, held_call> calls;
};

void checkBound(const held_call &held)
{
    const std::uint64_t accounted = std::uint64_t{held.left} + held.lent + held.spent;
    checkInvariant(accounted == held.brought, invariant::retry_bound, "extra attempts of a call don't add up to its allowance");
}

bool drawOne(held_call &held)
{
    if (held.left == 0) {
        return false;
    }
    --held.left;
    ++held.spent;
    return true;
}

std::uint32_t sizeOfPart(std::uint32_t left, lent_part lent)
{
    switch (lent) {
    case lent_part::half:
        return left - left / 2;
    case lent_part::all:
        return left;
    case lent_part::none:
        break;
    }
    return 0;
}

std::uint32_t lendPart(held_call &held, lent_part lent)
{
    const std::uint32_t part = sizeOfPart(held.left, lent);
    held.left -= part;
    held.lent += part;
    return part;
}

/** @return Whether the child was known before or can't be remembered. */
bool isRepeatedChild(held_call &held, std::uint64_t key)
{
    if (std::ranges::find(held.children, key) != held.children.end()) {
        return true;
    }
    if (held.children.size() >= maxChildKeys) {
        return true;
    }
    held.children.push_back(key);
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
    held_call fresh;
    fresh.brought = allowance;
    fresh.left = allowance;
    shard.calls.try_emplace(call, std::move(fresh));
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

child_grant retry_ledger::openChild(call_id parent, child_key key, lent_part lent)
{
    ledger_shard &shard = m_state->shardOf(parent);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(parent);
    child_grant grant;
    if (found == shard.calls.end()) {
        return grant;
    }
    held_call &held = found->second;
    grant.isRepeat = isRepeatedChild(held, key.hash);
    grant.allowed = !grant.isRepeat || drawOne(held);
    if (grant.allowed) {
        grant.part = lendPart(held, lent);
    }
    checkBound(held);
    return grant;
}

void retry_ledger::closeChild(call_id parent, std::uint32_t part, std::uint32_t unspent)
{
    ledger_shard &shard = m_state->shardOf(parent);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(parent);
    if (found == shard.calls.end()) {
        return;
    }
    held_call &held = found->second;
    checkInvariant(part <= held.lent, invariant::retry_bound, "a child gives back a part that wasn't lent");
    const std::uint32_t ended = std::min(part, held.lent);
    const std::uint32_t returned = std::min(unspent, ended);
    held.lent -= ended;
    held.left += returned;
    held.spent += ended - returned;
    checkBound(held);
}

std::uint32_t retry_ledger::left(call_id call) const
{
    const ledger_shard &shard = m_state->shardOf(call);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.calls.find(call);
    return found == shard.calls.end() ? 0 : found->second.left;
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
    const std::uint32_t unspent = found->second.left;
    shard.calls.erase(found);
    return unspent;
}

} // namespace cicadamux
