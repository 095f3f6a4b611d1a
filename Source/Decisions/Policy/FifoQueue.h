#pragma once

#include "Decisions/Policy/Concepts.h"

#include <algorithm>
#include <deque>

namespace caraway {

/// Tasks in the order in which they came.
class FifoQueue
{
public:
    void push(WaitingTask waiting) { tasks_.push_back(std::move(waiting)); }

    bool remove(const TaskId &task)
    {
        const auto found = std::ranges::find(tasks_, task, &WaitingTask::task);
        if (found == tasks_.end())
            return false;
        tasks_.erase(found);
        return true;
    }

    const WaitingTask *front() const { return tasks_.empty() ? nullptr : &tasks_.front(); }
    void popFront() { tasks_.pop_front(); }
    std::size_t size() const { return tasks_.size(); }

private:
    std::deque<WaitingTask> tasks_;
};

} // namespace caraway
