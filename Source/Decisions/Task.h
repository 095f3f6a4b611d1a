#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Job.h"

namespace caraway {

/// One task of an accepted job. Its chart defines the transitions; the shard's scheduler carries
/// out the effects that the chart's actions collect here.
class Task
{
public:
    enum class State {
        NotSubmitted,
        Deferred,
        CancelPending,
        Queued,
        OnWorker,
        Starting,
        Unconfirmed,
        Running,
        Stopping,
        Done,
        Failed,
        Unknown,
        Cancelled,
    };
    enum class Event {
        Submitted,
        Deferred,
        InventoriesRead,
        InventoryLost,
        Placed,
        Started,
        Refused,
        Unanswered,
        Discovered,
        Succeeded,
        Failed,
        LeaseExpired,
        CancelRequested,
    };
    /// The work that an event leaves to the scheduler.
    struct Effects
    {
        bool releaseAllocation = false;
        bool enqueue = false;
        bool stopAttempt = false;
        bool voidAttempt = false;
    };
    static const BoundChart<Task> &chart();

    explicit Task(bool idempotent)
        : idempotent_(idempotent)
    {
    }

    /// Handles \a event and returns its effects; none if the current state doesn't handle it.
    Effects handle(Event event);

    bool isIn(State state) const { return lifecycle_.isIn(state); }
    bool isFinal() const { return lifecycle_.isFinal(); }

    /// Starts a new attempt on \a worker, by the holder of \a epoch.
    void placeOn(const WorkerId &worker, Epoch epoch);
    const WorkerId &worker() const { return worker_; }
    AttemptNumber attempt() const { return attempt_; }
    /// Takes over an attempt that another holder started.
    void adopt(const WorkerId &worker, AttemptNumber attempt);
    /// Whether any attempt may have run, even briefly.
    bool mayHaveRun() const { return mayHaveRun_; }

    /// Counts an attempt that ran and failed. Returns the number of failed attempts.
    std::uint32_t countFailure() { return ++failures_; }
    /// Sets whether the task may be retried when the current attempt fails.
    void setRetryGranted(bool isGranted) { retryGranted_ = isGranted; }

    TaskAnswer answer;
    TimePoint queuedAt;

private:
    bool mayRetry() const { return idempotent_; }
    bool mayRetryFailure() const { return idempotent_ && retryGranted_; }
    void releaseAllocation() { effects_.releaseAllocation = true; }
    void enqueue() { effects_.enqueue = true; }
    void stopAttempt() { effects_.stopAttempt = true; }
    void voidAttempt() { effects_.voidAttempt = true; }

    Lifecycle<Task> lifecycle_;
    Effects effects_;
    WorkerId worker_;
    AttemptNumber attempt_;
    bool idempotent_;
    bool mayHaveRun_ = false;
    bool retryGranted_ = true;
    std::uint32_t failures_ = 0;
};

} // namespace caraway
