/** @file active_calls_base.h The calls that this host's backend server is working on, with their child calls. */

#pragma once

#include "request/call_type.h"

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cicadamux
{

/** Registry of active calls: a call is active from before its first byte is sent until it has ended or its result is no longer awaited. Thread-safe. */
class active_calls
{
public:
    /** Adds a call. */
    void add(call_id call, const call_context &context);

    /** @return The context of a call; nothing if it is not active. */
    std::optional<call_context> find(call_id call) const;

    /**
     * Registers a child call, to be cancelled when its parent ends.
     * @return False if the parent is not active; then the child is not registered.
     */
    bool addChild(call_id parent, call_id child, std::function<void()> cancel);

    /** Unregisters a child call that has ended. */
    void removeChild(call_id parent, call_id child);

    /** Removes a call and cancels its remaining children. */
    void remove(call_id call);

    std::size_t size() const;

private:
    struct active_call {
        call_context context;
        std::unordered_map<call_id, std::function<void()>> children;
    };

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<call_id, active_call> calls;
    };

    static constexpr std::size_t shardCount = 16;

    shard &shardOf(call_id call);
    const shard &shardOf(call_id call) const;

    std::array<shard, shardCount> m_shards;
};

} // namespace cicadamux
