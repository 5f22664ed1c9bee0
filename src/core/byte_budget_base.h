/** @file byte_budget_base.h A memory budget for request and response bytes, and reservations against it. */

#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace cicadamux
{

/** Counts reserved bytes against a limit. Thread-safe. */
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit);

    /** Reserves bytes if they fit. @return Whether they were reserved. */
    bool tryReserve(std::size_t bytes);

    /** Reserves bytes that are already in memory, even beyond the limit. */
    void forceReserve(std::size_t bytes);

    void release(std::size_t bytes);

    std::size_t used() const;

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
};

/** A reservation in a budget, released on destruction. Without a budget nothing is limited. Not thread-safe. */
class byte_hold
{
public:
    byte_hold() = default;
    explicit byte_hold(std::shared_ptr<byte_budget> budget);
    ~byte_hold();
    byte_hold(byte_hold &&other) noexcept;
    byte_hold &operator=(byte_hold &&other) noexcept;
    byte_hold(const byte_hold &) = delete;
    byte_hold &operator=(const byte_hold &) = delete;

    /** Changes the size of the reservation if it fits. @return Whether it fits; if not, nothing changes. */
    bool take(std::size_t bytes);

    /** Changes the size of the reservation, even beyond the limit. */
    void set(std::size_t bytes);

private:
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace cicadamux
