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

    /** Changes the limit; what is reserved beyond it stays until it is released. */
    void setLimit(std::size_t limit);

    /** Reserves bytes if they fit. @return Whether they were reserved. */
    bool tryReserve(std::size_t bytes);

    /** Reserves bytes that are already in memory, even beyond the limit. */
    void forceReserve(std::size_t bytes);

    void release(std::size_t bytes);

    std::size_t used() const;

private:
    std::atomic<std::size_t> m_limit;
    std::atomic<std::size_t> m_used{0};
};

/** A reservation in a budget, released on destruction. Without a budget nothing is limited. Not thread-safe. */
class byte_reservation
{
public:
    byte_reservation() = default;
    explicit byte_reservation(std::shared_ptr<byte_budget> budget);
    ~byte_reservation();
    byte_reservation(byte_reservation &&other) noexcept;
    byte_reservation &operator=(byte_reservation &&other) noexcept;
    byte_reservation(const byte_reservation &) = delete;
    byte_reservation &operator=(const byte_reservation &) = delete;

    /** Changes the size of the reservation if it fits. @return Whether it fits; if not, nothing changes. */
    bool tryResize(std::size_t bytes);

    /** Changes the size of the reservation, even beyond the limit. */
    void forceResize(std::size_t bytes);

private:
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace cicadamux
