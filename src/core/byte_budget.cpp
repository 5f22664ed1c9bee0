/** @file byte_budget.cpp A memory budget for request and response bytes, and reservations against it. */

#include "core/byte_budget_base.h"

#include <utility>

namespace cicadamux
{

byte_budget::byte_budget(std::size_t limit)
    : m_limit(limit)
{
}

void byte_budget::setLimit(std::size_t limit)
{
    m_limit = limit;
}

bool byte_budget::tryReserve(std::size_t bytes)
{
    const std::size_t before = m_used.fetch_add(bytes);
    if (before + bytes <= m_limit) {
        return true;
    }
    m_used.fetch_sub(bytes);
    return false;
}

void byte_budget::forceReserve(std::size_t bytes)
{
    m_used.fetch_add(bytes);
}

void byte_budget::release(std::size_t bytes)
{
    m_used.fetch_sub(bytes);
}

std::size_t byte_budget::used() const
{
    return m_used.load();
}

byte_reservation::byte_reservation(std::shared_ptr<byte_budget> budget)
    : m_budget(std::move(budget))
{
}

byte_reservation::~byte_reservation()
{
    forceResize(0);
}

byte_reservation::byte_reservation(byte_reservation &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

byte_reservation &byte_reservation::operator=(byte_reservation &&other) noexcept
{
    if (this != &other) {
        forceResize(0);
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool byte_reservation::tryResize(std::size_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->tryReserve(bytes - m_bytes)) {
        return false;
    }
    if (m_budget && bytes < m_bytes) {
        m_budget->release(m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
}

void byte_reservation::forceResize(std::size_t bytes)
{
    if (m_budget) {
        m_budget->forceReserve(bytes);
        m_budget->release(m_bytes);
    }
    m_bytes = bytes;
}

} // namespace cicadamux
