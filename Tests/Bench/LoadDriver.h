#pragma once

#include "Bench/BenchFleet.h"
#include "Bench/Statistics.h"
#include "Decisions/Policy/TaskPlacer.h"

#include <map>
#include <queue>
#include <unordered_map>

namespace caraway::bench {

/// What became of one kind of work.
struct KindOutcome
{
    Statistics waitMs;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    /// Processors in use, summed over the rounds that are measured.
    double usedMillicoreRounds = 0;
};

/// Feeds generated work into the placers of a fleet on a clock of its own.
template<class Policy>
class LoadDriver
{
public:
    static constexpr Milliseconds step {25};

    LoadDriver(const BenchFleet &fleet, const Preset &preset)
        : fleet_(fleet)
        , placers_(fleet.shards)
    {
        for (std::size_t shard = 0; shard < fleet.shards; ++shard) {
            placers_[shard].usePreset(preset);
            placers_[shard].setFleetCapacity(fleet.totalCapacity());
            for (const WorkerMember &worker : fleet.workersOf(shard))
                placers_[shard].setWorker(worker, true);
        }
    }

    TimePoint now() const { return now_; }

    /// Asks for admission and queues what is taken.
    void submit(JobSpec spec)
    {
        const std::size_t shard = std::hash<JobName>()(spec.name) % placers_.size();
        KindOutcome &outcome = outcomes_[spec.kind];
        if (placers_[shard].refusalOf(now_, spec)) {
            ++outcome.refused;
            return;
        }
        ++outcome.accepted;
        placers_[shard].enqueue(now_, spec, TaskIndex(0));
        const JobName name = spec.name;
        waiting_.emplace(name, Waiting {std::move(spec), now_, isMeasured_});
    }

    /// Ends due tasks, lets every shard place, and moves the clock.
    void runStep()
    {
        now_ = now_ + step;
        while (!running_.empty() && running_.top().endsAt <= now_) {
            const Running &done = running_.top();
            placers_[done.shard].onReleased(done.worker, done.spec, TaskIndex(0));
            used_[done.spec.kind] -= done.spec.perTask;
            running_.pop();
        }
        for (std::size_t shard = 0; shard < placers_.size(); ++shard) {
            for (const PlacedTask &placed : placers_[shard].place(now_))
                start(shard, placed);
        }
        if (isMeasured_)
            measure();
    }

    void beginMeasuring()
    {
        isMeasured_ = true;
        outcomes_.clear();
    }
    KindOutcome &outcome(const KindId &kind) { return outcomes_[kind]; }
    std::size_t waitingCount() const { return waiting_.size(); }
    /// Use of the most used dimension, averaged over the measured rounds.
    const Statistics &packing() const { return packing_; }

private:
    struct Waiting
    {
        JobSpec spec;
        TimePoint since;
        bool isMeasured = false;
    };
    struct Running
    {
        TimePoint endsAt;
        std::size_t shard = 0;
        WorkerId worker;
        JobSpec spec;
        friend bool operator<(const Running &a, const Running &b) { return a.endsAt > b.endsAt; }
    };

    void start(std::size_t shard, const PlacedTask &placed)
    {
        const auto found = waiting_.find(placed.waiting.task.job);
        Waiting &waiting = found->second;
        if (waiting.isMeasured) {
            outcomes_[waiting.spec.kind].waitMs.add(
                    static_cast<double>((now_ - waiting.since).count()));
        }
        used_[waiting.spec.kind] += waiting.spec.perTask;
        const TimePoint end = now_ + waiting.spec.expectedRunTime;
        running_.push({end, shard, placed.worker, std::move(waiting.spec)});
        waiting_.erase(found);
    }

    void measure()
    {
        Resources all;
        for (const auto &[kind, used] : used_) {
            outcomes_[kind].usedMillicoreRounds += static_cast<double>(used.processors.count());
            all += used;
        }
        packing_.add(all.dominantShareOf(fleet_.totalCapacity()));
    }

    BenchFleet fleet_;
    std::vector<TaskPlacer<Policy>> placers_;
    TimePoint now_;
    bool isMeasured_ = false;
    std::unordered_map<JobName, Waiting> waiting_;
    std::priority_queue<Running> running_;
    std::map<KindId, Resources> used_;
    std::map<KindId, KindOutcome> outcomes_;
    Statistics packing_;
};

} // namespace caraway::bench
