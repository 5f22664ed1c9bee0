/** @file policy_watch_base.h Schedules the calls by which a duty holder watches one kind of policy objects in the platform. */

#pragma once

#include "core/clock_type.h"
#include "core/random_func.h"
#include "store/store_type.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace cicadamux::detail
{

/** Receives the objects that the platform returned. */
using objects_hook = std::function<void(std::span<const stored_object> objects)>;

/**
 * Decides when to list and when to watch; the owner makes the calls. Not thread-safe.
 * After a failure it waits with exponential backoff and jitter, so that the holders do not all retry at once after an outage.
 */
class policy_watch
{
public:
    /** The call that the owner is to make next. */
    enum class action : std::uint8_t { none, list, watch };

    policy_watch(std::string kind, clock_ms wait, objects_hook offer, random_source random);

    /**
     * Returns the call to make now; it counts as in progress until finished() is called.
     * @param holdsDuty Whether this daemon holds the duty.
     */
    action next(bool holdsDuty, clock_ms now);

    /** Processes the result of the call. */
    void finished(const store_result<store_changes> &result, clock_ms now);

    const std::string &kind() const;

    /** @return The cursor to watch from. */
    std::uint64_t cursor() const;

private:
    void listed(const store_changes &changes, clock_ms now);
    void watched(const store_changes &changes, clock_ms now);
    void failed(store_failure failure, clock_ms now);
    clock_ms jittered(clock_ms span) const;

    std::string m_kind;
    clock_ms m_wait;
    objects_hook m_offer;
    random_source m_random;
    bool m_holdsDuty = false;
    bool m_isCallPending = false;
    action m_currentAction = action::none;
    bool m_isListed = false;
    std::uint64_t m_cursor = 0;
    std::uint32_t m_failures = 0;
    clock_ms m_startedAt;
    clock_ms m_nextCall;
    clock_ms m_nextList;
};

} // namespace cicadamux::detail
