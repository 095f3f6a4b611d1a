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

/// How much work a worker may be given.
enum class WorkAllowance { All, OneTask, None };

/// What became of one task that a worker ran.
struct TaskOutcome
{
    KindId kind;
    JobName job;
    bool failed = false;
};

/// The last outcomes of one worker.
class OutcomeWindow
{
public:
    struct Count
    {
        std::uint32_t runs = 0;
        std::uint32_t failures = 0;
    };

    /// Takes an outcome in and returns the one that it pushed out, if any.
    std::optional<TaskOutcome> add(TaskOutcome outcome);
    const std::deque<TaskOutcome> &outcomes() const { return outcomes_; }
    void clear() { outcomes_.clear(); }

private:
    static constexpr std::size_t size = 32;

    std::deque<TaskOutcome> outcomes_;
};

/// The health of one worker, as its chart has it.
class WorkerHealth
{
public:
    enum class State { Healthy, Ejected, Probing };
    enum class Event { Succeeded, Failed, ProbeDue };
    static const BoundChart<WorkerHealth> &chart();

    explicit WorkerHealth(std::uint64_t seed);

    /// Takes an outcome in. \a isFarWorse says how the worker compares with the others, and
    /// \a mayGo whether one more worker of the shard may be ejected.
    void onOutcome(TimePoint now, bool failed, bool isFarWorse, bool mayGo);
    /// Lets an ejected worker be probed once it is time.
    void onTick(TimePoint now);

    WorkAllowance allowance() const;
    bool isHealthy() const { return machine_.isIn(State::Healthy); }
    const std::string &stateName() const { return machine_.stateName(); }

    OutcomeWindow window;

private:
    bool isFarWorseAndMayGo() const { return isFarWorse_ && mayGo_; }
    bool hasProvenItself() const;
    void scheduleProbe();
    void countSuccess() { ++successes_; }
    void forget();

    Backoff backoff_;
    std::uint32_t ejections_ = 0;
    std::uint32_t successes_ = 0;
    bool isFarWorse_ = false;
    bool mayGo_ = false;
    TimePoint now_;
    TimePoint probeAt_;
    Lifecycle<WorkerHealth> machine_;
};

} // namespace caraway
