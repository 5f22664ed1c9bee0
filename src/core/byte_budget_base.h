/** @file byte_budget_base.h A bound for the bytes that a process holds for others. */

#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace cicadamux
{

/** Thread-safe. */
class byte_budget
{
public:
    explicit byte_budget(std::size_t limit);

    /** @return Whether the bytes fit; only then they count. */
    bool take(std::size_t bytes);

    /** Counts bytes that are held already, even beyond the limit. */
    void add(std::size_t bytes);

    void give(std::size_t bytes);

    std::size_t used() const;

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
};

/** Bytes held of a budget; given back at the end of its life. Without a budget nothing is bounded. Not thread-safe. */
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

    /** Takes bytes in place of those held so far. @return Whether they fit; if not, nothing changes. */
    bool take(std::size_t bytes);

    /** Counts bytes in place of those held so far, even beyond the limit. */
    void set(std::size_t bytes);

private:
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace cicadamux
