/** @file held_calls.cpp The calls that this host's backend server is working on. */

#include "daemon/held_calls_base.h"

namespace cicadamux
{

void held_calls::add(call_id call, const call_context &context)
{
    shard &part = shardOf(call);
    const std::lock_guard lock(part.mutex);
    part.calls[call].context = context;
}

std::optional<call_context> held_calls::find(call_id call) const
{
    const shard &part = shardOf(call);
    const std::lock_guard lock(part.mutex);
    const auto found = part.calls.find(call);
    if (found == part.calls.end()) {
        return std::nullopt;
    }
    return found->second.context;
}

bool held_calls::addChild(call_id parent, call_id child, std::function<void()> cancel)
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

void held_calls::removeChild(call_id parent, call_id child)
{
    shard &part = shardOf(parent);
    const std::lock_guard lock(part.mutex);
    const auto found = part.calls.find(parent);
    if (found != part.calls.end()) {
        found->second.children.erase(child);
    }
}

void held_calls::remove(call_id call)
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

std::size_t held_calls::size() const
{
    std::size_t total = 0;
    for (const shard &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        total += part.calls.size();
    }
    return total;
}

held_calls::shard &held_calls::shardOf(call_id call)
{
    return m_shards[call.value % shardCount];
}

const held_calls::shard &held_calls::shardOf(call_id call) const
{
    return m_shards[call.value % shardCount];
}

} // namespace cicadamux
