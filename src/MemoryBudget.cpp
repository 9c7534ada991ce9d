#include "MemoryBudget.h"

namespace Camphor {

namespace {

/// An ordinary request with its overhead. All connections of an entry together, with a request of
/// this size each, take less than two thirds of its budget.
constexpr std::size_t SmallRequestBytes = std::size_t{8} * 1024;
/// A job of up to about 180 tasks.
constexpr std::size_t SmallJobBytes = std::size_t{96} * 1024;
constexpr std::size_t LargeShareDivisor = 3;

} // namespace

std::shared_ptr<MemoryBudget> MemoryBudget::forRequests(std::size_t bytes)
{
    return std::make_shared<MemoryBudget>(bytes, SmallRequestBytes);
}

std::shared_ptr<MemoryBudget> MemoryBudget::forJobs(std::size_t bytes)
{
    return std::make_shared<MemoryBudget>(bytes, SmallJobBytes);
}

bool MemoryBudget::hasRoom(std::size_t from, std::size_t to) const
{
    const auto limit = to <= m_smallBytes ? m_bytes : m_bytes / LargeShareDivisor;
    return m_used.load() - from + to <= limit;
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->hasRoom(m_bytes, bytes))
        return false;
    if (m_budget) {
        m_budget->m_used += bytes;
        m_budget->m_used -= m_bytes;
    }
    m_bytes = bytes;
    return true;
}

} // namespace Camphor
