#pragma once

#include "Cell/CellSimulation.h"

#include <random>

namespace caraway::tests {

/// Jobs of all shapes, and losses at random times from a seed. Which tasks could run is judged by
/// the state of the simulation, not by that of the scheduler.
class LossSchedule
{
public:
    enum class Loss {
        WorkerCrash,
        WorkerLostForGood,
        WorkerCutOff,
        WorkerRepliesLost,
        WorkerRefusingConnections,
        WorkerUnhealthy,
        WorkerLeaving,
        EntryRemoved,
        HolderKilled,
        HolderAndWorkerKilled,
        HolderKilledTwice,
        HolderPaused,
        StoreRefusing,
        StoreRepliesLost,
        ApprovalsUnanswered,
        RepliesDropped,
    };

    LossSchedule(std::uint64_t seed, std::vector<Loss> kinds);

    /// Plays the schedule; returns what went wrong, or nothing.
    std::string run();
    const std::string &log() const { return simulation_.log; }

private:
    using Delivery = CellSimulation::Delivery;

    struct SubmittedJob
    {
        cell::JobSpec spec;
        std::string host;
        TimePoint submitAt;
        std::optional<cell::CallerRequestId> request;
        bool isAccepted = false;
        /// Since when each step could run and did not.
        std::map<std::size_t, TimePoint> heldSince;
        /// The losses in which the start of one of its tasks was lost.
        std::set<std::size_t> lostStarts;
    };
    struct ScheduledAction
    {
        TimePoint at;
        std::function<void()> action;
    };
    /// A time in which a worker did not answer, with the longest lease that it then had.
    struct WorkerLoss
    {
        std::size_t worker = 0;
        TimePoint from;
        TimePoint until;
        Milliseconds lease;
    };
    struct Takeover
    {
        TimePoint lostAt;
        TimePoint startedAt;
    };

    std::int64_t pick(std::int64_t limit);
    Milliseconds pickTime(std::int64_t least, std::int64_t most);
    TimePoint now() const { return simulation_.now(); }
    void configure();
    void addJobs();
    void applyLoss(Loss loss);
    void schedule(Milliseconds delay, std::function<void()> action);
    void loseWorker(std::size_t worker, std::optional<Milliseconds> restartAfter);
    void disturbWorker(std::size_t worker, Delivery delivery, Milliseconds duration);
    void announceLeaving(std::size_t worker);
    void removeEntry(std::size_t worker);
    void killHolder();
    void killNextHolder();
    void pauseHolder(Milliseconds duration);
    void disturbStore(Delivery delivery, Milliseconds duration);
    void leaveApprovalsUnanswered(Milliseconds duration);
    void dropReplies(Milliseconds duration);
    void disruptedUntil(TimePoint time) { calmFrom_ = std::max(calmFrom_, time); }

    Delivery deliver(const cell::WorkerRequest &request);
    bool isReplyDropped() { return droppedPercent_ > 0 && pick(100) < droppedPercent_; }
    void submitDueJobs();
    void observeHolder();
    std::string check();
    std::string checkStep(SubmittedJob &job, std::size_t step);
    bool couldRun(const SubmittedJob &job, std::size_t step) const;
    std::size_t doneTasks(const SubmittedJob &job, std::size_t step) const;
    std::size_t runningTasks(const SubmittedJob &job, std::optional<std::size_t> step) const;
    bool isAvailable(std::size_t worker) const;
    bool isApproved(const std::string &job, const WorkerId &worker) const;
    bool mayHaveRunIn(const SubmittedJob &job, std::size_t loss) const;
    /// Until when a run that was lost without notice may hold the job back.
    TimePoint excusedUntil(const SubmittedJob &job) const;
    bool isOpenAt(const WorkerLoss &loss, const Takeover &takeover) const;
    bool isDone(const SubmittedJob &job) const;
    std::string finalState();

    std::uint64_t seed_;
    std::mt19937_64 random_;
    CellSimulation simulation_;
    std::vector<SubmittedJob> jobs_;
    std::vector<ScheduledAction> actions_;
    std::vector<WorkerLoss> losses_;
    std::vector<Takeover> takeovers_;
    std::vector<Delivery> deliveries_;
    /// Workers that leave or whose entry is removed.
    std::set<std::size_t> unlisted_;
    std::optional<std::size_t> lastHolder_;
    bool isHolderMissing_ = false;
    TimePoint lastHolderAt_;
    Delivery storeDelivery_ = Delivery::Delivered;
    std::int64_t droppedPercent_ = 0;
    bool areApprovalsAnswered_ = true;
    TimePoint calmFrom_;
};

} // namespace caraway::tests
