/** @file held_calls_base.h The calls that this host's backend server is working on, with the calls it makes for them. */

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

/** Thread-safe. A call is held from before its first byte is sent until its work is over or given up. */
class held_calls
{
public:
    /** Begins to hold a call. */
    void add(call_id call, const call_context &context);

    /** @return The context of a held call; nothing if it is over. */
    std::optional<call_context> find(call_id call) const;

    /**
     * Links a child with its parent, so that it is cancelled when the parent ends.
     * @return False if the parent is over; then nothing is kept.
     */
    bool addChild(call_id parent, call_id child, std::function<void()> cancel);

    /** Unlinks a child that has ended. */
    void removeChild(call_id parent, call_id child);

    /** Stops holding a call and cancels the children that it left. */
    void remove(call_id call);

    std::size_t size() const;

private:
    struct held_call {
        call_context context;
        std::unordered_map<call_id, std::function<void()>> children;
    };

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<call_id, held_call> calls;
    };

    static constexpr std::size_t shardCount = 16;

    shard &shardOf(call_id call);
    const shard &shardOf(call_id call) const;

    std::array<shard, shardCount> m_shards;
};

} // namespace cicadamux
