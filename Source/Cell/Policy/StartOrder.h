#pragma once

#include "Cell/CellJob.h"

#include <compare>
#include <concepts>
#include <functional>
#include <tuple>

namespace caraway::cell {

class EligibleWorkers;

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
    /// The usable workers that may run the step's tasks; null outside a scheduling pass.
    EligibleWorkers *eligible = nullptr;
    /// Whether the job exceeds its account's rate, or can't meet its objective any more. Both are
    /// false without client accounts.
    bool isSurplus = false;
    bool isLate = false;
    bool isTried = false;
};

/// Which candidates start first: those with the lowest keys.
template<class Order>
concept StartOrder
        = std::totally_ordered<typename Order::Key> && requires(const StartCandidate &candidate,
                                                                TimePoint now)
{
    {
        Order::keyOf(candidate, now)
        } -> std::same_as<typename Order::Key>;
    // Whether the completion of the job will still have a value.
    {
        Order::hasValue(candidate, now)
        } -> std::same_as<bool>;
} && requires(const typename Order::Key &key)
{
    // Whether candidates with these keys are ordered among each other by the shares of their
    // accounts first.
    {
        key.isOfOneClass(key)
        } -> std::same_as<bool>;
};

/// The baseline: in order of arrival.
struct ArrivalOrder
{
    struct Key
    {
        TimePoint arrivedAt;

        static bool isOfOneClass(const Key & /*other*/) { return true; }
        friend auto operator<=>(const Key &, const Key &) = default;
    };

    static Key keyOf(const StartCandidate &candidate, TimePoint /*now*/)
    {
        return {candidate.job->arrivedAt()};
    }
    static bool hasValue(const StartCandidate & /*candidate*/, TimePoint /*now*/) { return true; }
};

/// By the queue's priority, then by the earliest objective. Jobs that will take more than three
/// times their objective come last, as their completion has no value any more; but not long-running
/// ones, whose tasks are of value whenever they run. Meant for bursts of one kind of job.
///
/// Jobs that can't meet their objective any more come after those that can, so that a backlog
/// doesn't make all jobs late; and after them, those that exceed the rates of their accounts, so
/// that a flood of one account waits and not the others.
struct ObjectiveOrder
{
    enum class Rank { OnTime, Late, Surplus, Worthless };
    struct Key
    {
        Rank rank = Rank::OnTime;
        std::int64_t priority = 0;
        TimePoint objective;
        std::reference_wrapper<const StepKey> step;

        bool isOfOneClass(const Key &other) const
        {
            return rank == other.rank && priority == other.priority;
        }
        friend std::strong_ordering operator<=>(const Key &a, const Key &b)
        {
            if (const auto order = std::tie(a.rank, a.priority, a.objective)
                        <=> std::tie(b.rank, b.priority, b.objective);
                order != 0)
                return order;
            return a.step.get() <=> b.step.get();
        }
        friend bool operator==(const Key &a, const Key &b) { return (a <=> b) == 0; }
    };

    static Key keyOf(const StartCandidate &candidate, TimePoint now)
    {
        return {rankOf(candidate, now), candidate.queue->priority, candidate.objective,
                candidate.step->key};
    }
    static bool hasValue(const StartCandidate &candidate, TimePoint now)
    {
        if (candidate.step->spec.longRunning)
            return true;
        const Milliseconds objective = candidate.objective - candidate.job->arrivedAt();
        const TimePoint worthlessAfter = candidate.job->arrivedAt() + objective * lateFactor;
        return now + candidate.remaining <= worthlessAfter;
    }

private:
    static Rank rankOf(const StartCandidate &candidate, TimePoint now)
    {
        if (!hasValue(candidate, now))
            return Rank::Worthless;
        if (candidate.isSurplus)
            return Rank::Surplus;
        return candidate.isLate ? Rank::Late : Rank::OnTime;
    }

    /// A job that takes up to this many times its objective still has a part of its value.
    static constexpr std::int64_t lateFactor = 3;
};

static_assert(StartOrder<ArrivalOrder> && StartOrder<ObjectiveOrder>);

} // namespace caraway::cell
