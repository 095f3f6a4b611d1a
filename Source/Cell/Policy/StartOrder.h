#pragma once

#include "Cell/CellJob.h"

#include <concepts>

namespace caraway::cell {

/// A step with tasks to start.
struct StartCandidate
{
    CellJob *job = nullptr;
    CellStep *step = nullptr;
    const Queue *queue = nullptr;
    /// When the job has to complete to meet its objective.
    TimePoint objective;
    /// Minimum time until the rest of the job completes.
    Milliseconds remaining;
};

/// Which of two candidates starts first.
template<class Order>
concept StartOrder = requires(const Order &order, const StartCandidate &a, const StartCandidate &b,
                              TimePoint now)
{
    {
        order.startsBefore(a, b, now)
        } -> std::same_as<bool>;
};

/// The baseline: in order of arrival.
struct ArrivalOrder
{
    static bool startsBefore(const StartCandidate &a, const StartCandidate &b, TimePoint /*now*/)
    {
        return a.job->arrivedAt() < b.job->arrivedAt();
    }
};

/// By the queue's priority, then by the earliest objective. Jobs that will take more than three
/// times their objective come last, as their completion has no value any more; but not long-running
/// ones, whose tasks are of value whenever they run. Meant for bursts of one kind of job.
struct ObjectiveOrder
{
    static bool startsBefore(const StartCandidate &a, const StartCandidate &b, TimePoint now)
    {
        const int rankA = rank(a, now);
        const int rankB = rank(b, now);
        if (rankA != rankB)
            return rankA < rankB;
        if (a.queue->priority != b.queue->priority)
            return a.queue->priority < b.queue->priority;
        if (a.objective != b.objective)
            return a.objective < b.objective;
        return a.job->id() < b.job->id();
    }

private:
    /// A job that takes up to this many times its objective still has a part of its value.
    static constexpr std::int64_t lateFactor = 3;

    static int rank(const StartCandidate &candidate, TimePoint now)
    {
        if (candidate.step->spec.longRunning)
            return 0;
        const Milliseconds objective = candidate.objective - candidate.job->arrivedAt();
        const TimePoint worthlessAfter = candidate.job->arrivedAt() + objective * lateFactor;
        return now + candidate.remaining > worthlessAfter ? 1 : 0;
    }
};

static_assert(StartOrder<ArrivalOrder> && StartOrder<ObjectiveOrder>);

} // namespace caraway::cell
