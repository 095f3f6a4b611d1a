#include "Cell/CellJob.h"

#include <algorithm>

namespace caraway::cell {

Milliseconds criticalPathOf(const JobSpec &spec)
{
    std::vector<Milliseconds> endTimes;
    Milliseconds longest;
    for (const StepSpec &step : spec.steps) {
        Milliseconds startTime;
        for (const StepIndex dependency : step.after) {
            if (dependency.value() < endTimes.size())
                startTime = std::max(startTime, endTimes[dependency.value()]);
        }
        endTimes.push_back(startTime + step.estimate);
        longest = std::max(longest, endTimes.back());
    }
    return longest;
}

Milliseconds objectiveOf(const Queue &queue, Milliseconds criticalPath)
{
    constexpr std::int64_t percent = 100;
    return criticalPath * queue.stretchPercent / percent + queue.objective;
}

std::size_t CellStep::countTasks(CellTask::State state) const
{
    return static_cast<std::size_t>(std::count_if(
            tasks.begin(), tasks.end(), [&](const CellTask &task) { return task.isIn(state); }));
}

bool CellStep::hasBegun() const
{
    return !failedGangRuns.empty()
            || std::any_of(tasks.begin(), tasks.end(), [](const CellTask &task) {
                   return !task.isIn(CellTask::State::Waiting) || task.run() != RunNumber()
                           || !task.failedRuns.empty();
               });
}

CellJob::CellJob(AcceptedJob accepted, const JobProgress &progress, TimePoint now)
    : hasProgressRecord(!progress.steps.empty())
    , accepted_(std::move(accepted))
    , arrivedAt_(now)
    , criticalPath_(criticalPathOf(accepted_.spec))
{
    const JobSpec &spec = accepted_.spec;
    const std::int64_t repetitions = std::max<std::int64_t>(spec.schedule.runs, 1);
    for (std::int64_t repetition = 0; repetition < repetitions; ++repetition) {
        for (std::size_t index = 0; index < spec.steps.size(); ++index) {
            CellStep step;
            step.key = {spec.id, Occurrence(static_cast<std::uint64_t>(repetition)),
                        StepIndex(index)};
            step.spec = spec.steps[index];
            if (spec.schedule.runs > 0) {
                step.due = spec.schedule.firstDue
                        + WallTime(spec.schedule.interval.count() * repetition);
            }
            step.tasks.resize(static_cast<std::size_t>(step.spec.tasks));
            steps_.push_back(std::move(step));
        }
    }
    restore(progress);
    for (CellStep &step : steps_) {
        for (CellTask &task : step.tasks)
            task.countIn(step.counts);
    }
}

void CellJob::restore(const JobProgress &progress)
{
    for (std::size_t row = 0; row < std::min(progress.steps.size(), steps_.size()); ++row) {
        CellStep &step = steps_[row];
        const StepProgress &saved = progress.steps[row];
        for (std::size_t i = 0; i < std::min(saved.done.size(), step.tasks.size()); ++i) {
            if (!saved.done[i])
                continue;
            step.tasks[i].handle(CellTask::Event::Succeeded);
            ++step.doneTasks;
            markStarted();
        }
        for (const auto &[index, runs] : saved.failedRuns) {
            markStarted();
            if (step.spec.gang)
                step.failedGangRuns = runs;
            else if (index < step.tasks.size())
                step.tasks[index].failedRuns = runs;
        }
        for (const auto &[index, crashes] : saved.crashes) {
            markStarted();
            const auto shared = saved.sharedCrashes.find(index);
            if (index < step.tasks.size())
                step.tasks[index].restoreCrashes({crashes,
                                                  shared == saved.sharedCrashes.end()
                                                          ? std::set<WorkerCrash>()
                                                          : shared->second});
        }
        for (const auto &[index, start] : saved.starts) {
            if (index < step.tasks.size())
                step.tasks[index].recordedStart = start;
        }
        for (const auto &[index, text] : saved.checkpoints) {
            if (step.spec.gang)
                step.gangCheckpoint = text;
            else if (index < step.tasks.size())
                step.tasks[index].checkpoint = text;
        }
    }
}

std::span<const CellStep> CellJob::stepsOf(Occurrence occurrence) const
{
    const std::size_t stepsPerRepetition = accepted_.spec.steps.size();
    return std::span(steps_).subspan(occurrence.value() * stepsPerRepetition, stepsPerRepetition);
}

CellStep *CellJob::step(Occurrence occurrence, StepIndex index)
{
    const std::size_t stepsPerRepetition = accepted_.spec.steps.size();
    const std::size_t row = occurrence.value() * stepsPerRepetition + index.value();
    return index.value() < stepsPerRepetition && row < steps_.size() ? &steps_[row] : nullptr;
}

bool CellJob::markStarted()
{
    if (started_)
        return false;
    started_ = true;
    if (!isFinal(state_))
        state_ = JobState::Running;
    return true;
}

void CellJob::finish(JobState state)
{
    state_ = state;
    for (CellStep &step : steps_) {
        for (CellTask &task : step.tasks)
            task.withdraw();
    }
}

bool CellJob::hasTasksOnWorkers() const
{
    return std::any_of(steps_.begin(), steps_.end(),
                       [](const CellStep &step) { return step.counts.onWorkers > 0; });
}

bool CellJob::hasCrashes() const
{
    return std::any_of(steps_.begin(), steps_.end(), [](const CellStep &step) {
        return std::any_of(step.tasks.begin(), step.tasks.end(),
                           [](const CellTask &task) { return !task.crashes().isEmpty(); });
    });
}

bool CellJob::isDone() const
{
    return std::all_of(steps_.begin(), steps_.end(),
                       [](const CellStep &step) { return step.isDone(); });
}

bool CellJob::areDependenciesDone(const CellStep &step) const
{
    const std::size_t stepsPerRepetition = accepted_.spec.steps.size();
    const std::size_t first = step.key.occurrence.value() * stepsPerRepetition;
    return std::all_of(step.spec.after.begin(), step.spec.after.end(), [&](StepIndex dependency) {
        return dependency.value() < stepsPerRepetition
                && steps_[first + dependency.value()].isDone();
    });
}

void CellJob::updateReadiness(TimePoint now, WallTime wallTime)
{
    for (CellStep &step : steps_) {
        if (step.readySince && step.isEarly(wallTime))
            step.readySince.reset();
        else if (!step.readySince && wallTime >= step.due && areDependenciesDone(step))
            step.readySince = now;
    }
}

std::span<const CellStep> CellJob::takeDueSteps(WallTime wallTime)
{
    const std::size_t first = dueSteps_;
    while (dueSteps_ < steps_.size() && steps_[dueSteps_].due <= wallTime)
        ++dueSteps_;
    return std::span(steps_).subspan(first, dueSteps_ - first);
}

JobProgress CellJob::progress() const
{
    JobProgress progress;
    for (const CellStep &step : steps_) {
        StepProgress &row = progress.steps.emplace_back();
        if (!step.failedGangRuns.empty())
            row.failedRuns[0] = step.failedGangRuns;
        if (!step.gangCheckpoint.empty())
            row.checkpoints[0] = step.gangCheckpoint;
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const CellTask &task = step.tasks[i];
            row.done.push_back(task.isIn(CellTask::State::Done));
            if (!task.failedRuns.empty())
                row.failedRuns[i] = task.failedRuns;
            if (!task.crashes().isEmpty() && !task.isIn(CellTask::State::Done))
                row.crashes[i] = task.crashes().crashes();
            if (!task.crashes().shared().empty() && !task.isIn(CellTask::State::Done))
                row.sharedCrashes[i] = task.crashes().shared();
            if (task.recordedStart && !task.isIn(CellTask::State::Done))
                row.starts[i] = *task.recordedStart;
            if (!task.checkpoint.empty() && !task.isIn(CellTask::State::Done))
                row.checkpoints[i] = task.checkpoint;
        }
    }
    return progress;
}

} // namespace caraway::cell
