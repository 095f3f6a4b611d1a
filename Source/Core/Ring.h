#pragma once

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <cstddef>
#include <optional>
#include <utility>

namespace caraway {

/// A bounded queue that joins two duties. Taking sleeps while the ring is empty;
/// offering never sleeps, and each offerer says what becomes of an item that finds no room.
template<class T>
class Ring
{
public:
    explicit Ring(std::size_t capacity)
    {
        queue_.set_capacity(static_cast<std::ptrdiff_t>(capacity));
    }

    /// Puts \a item in; false, and the item is dropped, when the ring is full or closed.
    bool offer(T item) { return !closed_ && queue_.try_push(std::optional<T>(std::move(item))); }

    /// The oldest item, sleeping while there is none; nothing once the ring is closed.
    std::optional<T> take()
    {
        std::optional<T> item;
        if (!closed_)
            queue_.pop(item);
        if (!closed_)
            return item;
        wakeNextTaker();
        return std::nullopt;
    }

    /// The oldest item, or nothing at once when there is none; for a taker that is woken by
    /// other means.
    std::optional<T> takeIfAny()
    {
        std::optional<T> item;
        queue_.try_pop(item);
        return item;
    }

    /// Wakes every thread that sleeps in take(), now and later.
    void close()
    {
        closed_ = true;
        wakeNextTaker();
    }

    /// Items waiting now; for metrics only.
    std::size_t depth() const
    {
        const auto size = queue_.size();
        return size > 0 ? static_cast<std::size_t>(size) : 0;
    }

private:
    /// An empty item wakes one taker; a full ring has no taker asleep.
    void wakeNextTaker() { queue_.try_push(std::nullopt); }

    tbb::concurrent_bounded_queue<std::optional<T>> queue_;
    std::atomic<bool> closed_ = false;
};

} // namespace caraway
