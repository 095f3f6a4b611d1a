#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Backoff.h"
#include "Decisions/Job.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace caraway {

/// How many tasks may be placed on a worker at a time.
enum class WorkAllowance { All, OneTask, None };

/// The outcome of one task that a worker ran.
struct TaskOutcome
{
    KindId kind;
    JobName job;
    bool failed = false;
};

/// The most recent outcomes of one worker.
class OutcomeWindow
{
public:
    struct Count
    {
        std::uint32_t runs = 0;
        std::uint32_t failures = 0;
    };

    /// Adds an outcome. Returns the oldest one if it was evicted.
    std::optional<TaskOutcome> add(TaskOutcome outcome);
    const std::deque<TaskOutcome> &outcomes() const { return outcomes_; }
    void clear() { outcomes_.clear(); }

private:
    static constexpr std::size_t size = 32;

    std::deque<TaskOutcome> outcomes_;
};

/// The health of one worker, as a state of its chart.
class WorkerHealth
{
public:
    enum class State { Healthy, Ejected, Probing };
    enum class Event { Succeeded, Failed, ProbeDue };
    static const BoundChart<WorkerHealth> &chart();

    explicit WorkerHealth(std::uint64_t seed);

    /// Processes the outcome of a task. \a isOutlier: the worker fails far more often than the
    /// others. \a mayEject: one more worker of the shard may be ejected.
    void onOutcome(TimePoint now, bool failed, bool isOutlier, bool mayEject);
    /// Starts to probe an ejected worker when its probe delay has passed.
    void onTick(TimePoint now);

    WorkAllowance allowance() const;
    bool isHealthy() const { return lifecycle_.isIn(State::Healthy); }
    const std::string &stateName() const { return lifecycle_.stateName(); }

    OutcomeWindow window;

private:
    bool isOutlierAndEjectable() const { return isOutlier_ && mayEject_; }
    bool hasPassedProbation() const;
    void scheduleProbe();
    void countSuccess() { ++successes_; }
    void reset();

    Backoff backoff_;
    std::uint32_t ejections_ = 0;
    std::uint32_t successes_ = 0;
    bool isOutlier_ = false;
    bool mayEject_ = false;
    TimePoint now_;
    TimePoint probeAt_;
    Lifecycle<WorkerHealth> lifecycle_;
};

} // namespace caraway
