#pragma once

#include "Cell/CellJob.h"

#include <concepts>

namespace caraway::cell {

/// A step that has tasks to start, as the order of starts sees it.
struct StartCandidate
{
    CellJob *job = nullptr;
    CellStep *step = nullptr;
    const Queue *queue = nullptr;
    /// When the job should be done to meet its objective.
    TimePoint objective;
    /// How long the rest of the job takes at least.
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

/// By the queue's priority, then by the time left to the objective. What can earn nothing any
/// more, because it will take three times its objective, comes last. Answers floods of one kind.
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
    /// A job that takes up to this many times its objective is worth a part of its value.
    static constexpr std::int64_t lateFactor = 3;

    static int rank(const StartCandidate &candidate, TimePoint now)
    {
        const Milliseconds objective = candidate.objective - candidate.job->arrivedAt();
        const TimePoint worthless = candidate.job->arrivedAt() + objective * lateFactor;
        return now + candidate.remaining > worthless ? 1 : 0;
    }
};

static_assert(StartOrder<ArrivalOrder> && StartOrder<ObjectiveOrder>);

} // namespace caraway::cell
