/// @file Bounds the memory that requests of callers take in one process.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace Camphor {

/// A number of bytes that all reservations of one kind share. Large reservations together get a
/// third of it, so that small ones still find room, however many large ones there are. Thread-safe.
class MemoryBudget
{
public:
    /// @param smallBytes up to this size, a reservation counts as small.
    MemoryBudget(std::size_t bytes, std::size_t smallBytes)
        : m_bytes(bytes)
        , m_smallBytes(smallBytes)
    {
    }

    /// Makes a budget for requests that are read or handled, one for each connection.
    [[nodiscard]] static std::shared_ptr<MemoryBudget> forRequests(std::size_t bytes);
    /// Makes a budget for jobs in progress.
    [[nodiscard]] static std::shared_ptr<MemoryBudget> forJobs(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    [[nodiscard]] std::size_t used() const { return m_used; }

private:
    friend class MemoryReservation;

    /// Whether a reservation may grow.
    [[nodiscard]] bool hasRoom(std::size_t from, std::size_t to) const;

    std::size_t m_bytes;
    std::size_t m_smallBytes;
    std::atomic<std::size_t> m_used = 0;
};

/// A part of a budget, given back at the end of its life. Without a budget it is not bounded.
class MemoryReservation
{
public:
    explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget = nullptr)
        : m_budget(std::move(budget))
    {
    }
    ~MemoryReservation() { release(); }
    MemoryReservation(MemoryReservation &&other) noexcept
        : m_budget(std::move(other.m_budget))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    MemoryReservation &operator=(MemoryReservation &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Changes the size. @return false, with nothing changed, if the budget has no room.
    [[nodiscard]] bool resize(std::size_t bytes);
    void release() { (void)resize(0); }
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace Camphor
