#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>

namespace caraway {

/// A bounded queue between duties. take() blocks while the ring is empty. offer() never blocks:
/// it fails when the ring is full, and the producer handles the item that was not added.
template<class T>
class Ring
{
public:
    explicit Ring(std::size_t capacity)
    {
        queue_.set_capacity(static_cast<std::ptrdiff_t>(capacity));
    }

    /// Appends \a item; returns false and drops the item if the ring is full or closed.
    bool offer(T item) { return !closed_ && queue_.try_push(std::optional<T>(std::move(item))); }

    /// Removes and returns the oldest item; blocks while the ring is empty. Returns nothing once
    /// the ring is closed.
    std::optional<T> take()
    {
        std::optional<T> item;
        if (!closed_)
            queue_.pop(item);
        if (!closed_)
            return item;
        wakeNextConsumer();
        return std::nullopt;
    }

    /// Removes and returns the oldest item, or nothing if the ring is empty; never blocks. For
    /// consumers that are woken by other means.
    std::optional<T> tryTake()
    {
        std::optional<T> item;
        queue_.try_pop(item);
        return item;
    }

    /// Wakes all threads that block in take(); later calls return at once.
    void close()
    {
        closed_ = true;
        wakeNextConsumer();
    }

    /// Approximate number of queued items; for metrics only.
    std::size_t depth() const
    {
        const auto size = queue_.size();
        return size > 0 ? static_cast<std::size_t>(size) : 0;
    }

private:
    /// Wakes one blocked consumer with an empty item, and each consumer then wakes the next.
    /// The push may fail on a full ring, where no consumer is blocked.
    void wakeNextConsumer() { queue_.try_push(std::nullopt); }

    tbb::concurrent_bounded_queue<std::optional<T>> queue_;
    std::atomic<bool> closed_ = false;
};

} // namespace caraway
