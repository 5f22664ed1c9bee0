/** @file rcu_type.h Immutable snapshots, read without locks and replaced by read-copy-update (liburcu). */

#pragma once

#include <memory>
#include <mutex>

namespace cicadamux
{

namespace detail
{
/** Holds a read-side critical section of liburcu for its life. */
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
 * One immutable value that many threads read and few replace.
 * Readers never wait for writers. A writer waits for the readers of the previous value, so publish() isn't for the path of a request.
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

    /** @return The value in force; it stays valid for as long as the caller keeps it. */
    std::shared_ptr<const Value> load() const
    {
        const detail::rcu_read_guard guard;
        return *static_cast<std::shared_ptr<const Value> *>(detail::rcuLoad(&m_slot));
    }

    /** Puts a new value in force and frees the previous one once its readers are done. */
    void publish(std::shared_ptr<const Value> replacement)
    {
        const std::lock_guard lock(m_writers);
        auto *fresh = new std::shared_ptr<const Value>(std::move(replacement));
        auto *previous = static_cast<std::shared_ptr<const Value> *>(detail::rcuExchange(&m_slot, fresh));
        detail::rcuWaitForReaders();
        delete previous;
    }

private:
    void *m_slot; ///< A `std::shared_ptr<const Value> *`, exchanged as a whole.
    std::mutex m_writers; ///< Serializes publish().
};

} // namespace cicadamux
