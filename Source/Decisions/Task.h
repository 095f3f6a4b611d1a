#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Job.h"

namespace caraway {

/// One task of an accepted job. Its chart says what may follow what; the shard's
/// scheduler carries out the effects that the chart's actions leave here.
class Task
{
public:
    enum class State {
        Absent,
        Held,
        Withdrawn,
        Waiting,
        OnWorker,
        Starting,
        Doubtful,
        Running,
        Stopping,
        Done,
        FailedForGood,
        Unknown,
        Dropped,
    };
    enum class Event {
        Submitted,
        HeldBack,
        InventoriesRead,
        InventoriesLost,
        Placed,
        Started,
        Refused,
        Unanswered,
        Found,
        Succeeded,
        Failed,
        LeaseLapsed,
        Cancelled,
    };
    /// What the scheduler has to do after an event.
    struct Effects
    {
        bool releaseReservation = false;
        bool enqueue = false;
        bool stopAttempt = false;
        bool voidAttempt = false;
    };
    static const BoundChart<Task> &chart();

    explicit Task(bool idempotent)
        : idempotent_(idempotent)
    {
    }

    /// Runs the chart and returns what is to be done; nothing when the event has no place.
    Effects handle(Event event);

    bool isIn(State state) const { return machine_.isIn(state); }
    bool isFinal() const { return machine_.isFinal(); }

    /// Begins a new attempt on \a worker, by the holder of \a epoch.
    void placeOn(const WorkerId &worker, Epoch epoch);
    const WorkerId &worker() const { return worker_; }
    AttemptNumber attempt() const { return attempt_; }
    /// Takes over an attempt that another holder began.
    void adopt(const WorkerId &worker, AttemptNumber attempt);
    /// Whether any attempt may have run, for however short a time.
    bool mayHaveRun() const { return mayHaveRun_; }

    /// Counts one more attempt that ran and failed; returns how many there are.
    std::uint32_t noteFailure() { return ++failures_; }
    /// Whether an attempt that fails next may be followed by another.
    void setRetryGranted(bool isGranted) { retryGranted_ = isGranted; }

    TaskAnswer answer;
    TimePoint waitingSince;

private:
    bool mayRetry() const { return idempotent_; }
    bool mayRetryFailure() const { return idempotent_ && retryGranted_; }
    void releaseReservation() { effects_.releaseReservation = true; }
    void enqueue() { effects_.enqueue = true; }
    void stopAttempt() { effects_.stopAttempt = true; }
    void voidAttempt() { effects_.voidAttempt = true; }

    Lifecycle<Task> machine_;
    Effects effects_;
    WorkerId worker_;
    AttemptNumber attempt_;
    bool idempotent_;
    bool mayHaveRun_ = false;
    bool retryGranted_ = true;
    std::uint32_t failures_ = 0;
};

} // namespace caraway
