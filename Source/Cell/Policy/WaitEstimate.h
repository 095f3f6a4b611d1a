#pragma once

#include "Core/Clock.h"

#include <concepts>
#include <cstdint>
#include <map>

namespace caraway::cell {

/// How long a task that becomes ready now waits for the holder to get to it, by its priority.
template<class Estimate>
concept WaitEstimate = requires(Estimate estimate, const Estimate &constEstimate,
                                std::int64_t priority, std::size_t tasks, TimePoint now,
                                const std::map<std::int64_t, std::size_t> &backlog)
{
    estimate.recordStart(priority, now);
    estimate.recordBacklog(backlog, now);
    {
        constEstimate.expectedWait(priority, now)
        } -> std::same_as<Milliseconds>;
};

/// The baseline: tasks do not wait.
struct NoWait
{
    static void recordStart(std::int64_t /*priority*/, TimePoint /*now*/) { }
    static void recordBacklog(const std::map<std::int64_t, std::size_t> & /*backlog*/,
                              TimePoint /*now*/)
    {
    }
    static Milliseconds expectedWait(std::int64_t /*priority*/, TimePoint /*now*/) { return {}; }
};

/// By the tasks that scheduling passes had to leave untried, and by the starts of the last seconds
/// that were not for more urgent ones. Less the wait that the work of a burst may have, unless the
/// backlog has lasted for longer than a burst.
class BacklogWait
{
public:
    void recordStart(std::int64_t priority, TimePoint now);
    /// A pass has left these tasks untried, by priority.
    void recordBacklog(const std::map<std::int64_t, std::size_t> &backlog, TimePoint now);
    Milliseconds expectedWait(std::int64_t priority, TimePoint now) const;

private:
    /// Starts of the last seconds, each weighted down by its age.
    struct Starts
    {
        double weight = 0;
        TimePoint updatedAt;

        double at(TimePoint now) const;
    };

    std::map<std::int64_t, Starts> starts_;
    std::map<std::int64_t, std::size_t> backlog_;
    /// When the backlog was recorded first and last.
    TimePoint backlogSince_;
    TimePoint backlogAt_;
};

static_assert(WaitEstimate<NoWait> && WaitEstimate<BacklogWait>);

} // namespace caraway::cell
