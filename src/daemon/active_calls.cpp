/** @file active_calls.cpp The calls that this host's backend server is working on. */

#include "daemon/active_calls_base.h"

namespace cicadamux
{

void active_calls::add(call_id call, const call_context &context)
{
    shard &part = shardOf(call);
    const std::lock_guard lock(part.mutex);
    part.calls[call].context = context;
}

std::optional<call_context> active_calls::find(call_id call) const
{
    const shard &part = shardOf(call);
    const std::lock_guard lock(part.mutex);
    const auto found = part.calls.find(call);
    if (found == part.calls.end()) {
        return std::nullopt;
    }
    return found->second.context;
}

bool active_calls::addChild(call_id parent, call_id child, std::function<void()> cancel)
{
    shard &part = shardOf(parent);
    const std::lock_guard lock(part.mutex);
    const auto found = part.calls.find(parent);
    if (found == part.calls.end()) {
        return false;
    }
    found->second.children[child] = std::move(cancel);
    return true;
}

void active_calls::removeChild(call_id parent, call_id child)
{
    shard &part = shardOf(parent);
    const std::lock_guard lock(part.mutex);
    const auto found = part.calls.find(parent);
    if (found != part.calls.end()) {
        found->second.children.erase(child);
    }
}

void active_calls::remove(call_id call)
{
    std::unordered_map<call_id, std::function<void()>> orphans;
    {
        shard &part = shardOf(call);
        const std::lock_guard lock(part.mutex);
        const auto found = part.calls.find(call);
        if (found == part.calls.end()) {
            return;
        }
        orphans = std::move(found->second.children);
        part.calls.erase(found);
    }
    for (const auto &[child, cancel] : orphans) {
        cancel();
    }
}

std::size_t active_calls::size() const
{
    std::size_t total = 0;
    for (const shard &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        total += part.calls.size();
    }
    return total;
}

active_calls::shard &active_calls::shardOf(call_id call)
{
    return m_shards[call.value % shardCount];
}

const active_calls::shard &active_calls::shardOf(call_id call) const
{
    return m_shards[call.value % shardCount];
}

} // namespace cicadamux
