#pragma once

#include "Core/Ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace caraway::cell {

/// The thread of one duty; it sleeps until the network, a timer or another duty has work for it.
class IoThread
{
public:
    IoThread()
        : guard_(boost::asio::make_work_guard(context_))
    {
    }
    ~IoThread() { stop(); }

    boost::asio::io_context &context() { return context_; }
    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }
    /// Ends and joins the thread; pending handlers are dropped.
    void stop()
    {
        context_.stop();
        if (thread_.joinable())
            thread_.join();
    }

private:
    boost::asio::io_context context_ {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

/// A bounded ring whose items are handled on an IoThread. The first item wakes the thread, which
/// then handles all items in the ring.
template<class T>
class IoThreadRing
{
public:
    using Handler = std::function<void(T &&)>;

    IoThreadRing(IoThread &thread, std::size_t capacity, Handler handler)
        : thread_(thread)
        , ring_(capacity)
        , handler_(std::move(handler))
    {
    }

    /// Adds \a item; returns false, and drops the item, when the ring is full.
    bool offer(T item)
    {
        if (!ring_.offer(std::move(item)))
            return false;
        if (!wakeupPosted_.exchange(true))
            boost::asio::post(thread_.context(), [this] { handleAll(); });
        return true;
    }

private:
    void handleAll()
    {
        wakeupPosted_ = false;
        while (std::optional<T> item = ring_.tryTake())
            handler_(std::move(*item));
    }

    IoThread &thread_;
    Ring<T> ring_;
    Handler handler_;
    std::atomic<bool> wakeupPosted_ = false;
};

} // namespace caraway::cell
