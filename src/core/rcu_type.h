/** @file rcu_type.h Immutable snapshots that are read without locks and replaced by read-copy-update (liburcu). */

#pragma once

#include <memory>
#include <mutex>

namespace cicadamux
{

namespace detail
{
/** Scope of an RCU read-side critical section. */
class rcu_read_guard
{
public:
    rcu_read_guard();
    ~rcu_read_guard();
    rcu_read_guard(const rcu_read_guard &) = delete;
    rcu_read_guard &operator=(const rcu_read_guard &) = delete;
};

void *rcuLoad(void *const *slot);
void *rcuExchange(void **slot, void *replacement);
void rcuWaitForReaders();
} // namespace detail

/**
 * An immutable value that is read often, from many threads, and rarely replaced.
 * Readers never wait for writers. publish() waits for the readers of the previous value, so don't call it while serving a request.
 */
template<typename Value>
class rcu_snapshot
{
public:
    rcu_snapshot()
        : rcu_snapshot(std::make_shared<const Value>())
    {
    }

    explicit rcu_snapshot(std::shared_ptr<const Value> initial)
        : m_slot(new std::shared_ptr<const Value>(std::move(initial)))
    {
    }

    ~rcu_snapshot()
    {
        delete static_cast<std::shared_ptr<const Value> *>(m_slot);
    }

    rcu_snapshot(const rcu_snapshot &) = delete;
    rcu_snapshot &operator=(const rcu_snapshot &) = delete;

    /** @return The current value; it stays valid for as long as the caller holds the pointer. */
    std::shared_ptr<const Value> load() const
    {
        const detail::rcu_read_guard guard;
        return *static_cast<std::shared_ptr<const Value> *>(detail::rcuLoad(&m_slot));
    }

    /** Replaces the value and frees the previous one after a grace period. */
    void publish(std::shared_ptr<const Value> replacement)
    {
        const std::lock_guard lock(m_writers);
        auto *next = new std::shared_ptr<const Value>(std::move(replacement));
        auto *previous = static_cast<std::shared_ptr<const Value> *>(detail::rcuExchange(&m_slot, next));
        detail::rcuWaitForReaders();
        delete previous;
    }

private:
    void *m_slot; ///< A `std::shared_ptr<const Value> *`, exchanged atomically.
    std::mutex m_writers; ///< Serializes publish().
};

} // namespace cicadamux
