#include "Soak/SoakAudit.h"

#include "Soak/SoakAdvice.h"
#include "Soak/SoakClients.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway::tests {

namespace {

/// Instances are in touch when nothing has disturbed them for this long.
constexpr Milliseconds stableWindow {8000};
/// From when on every instance has to know a job that was accepted.
constexpr Milliseconds visibleAfter {3000};
/// From when on tasks of a cancelled job must be gone.
constexpr Milliseconds cancelBound {3000};
/// No job may have nothing running for longer while most of the workers' processors are free.
constexpr Milliseconds idleWaitBound {3000};

std::string describe(const SoakRun &run)
{
    const auto timeOf = [](const std::optional<Milliseconds> &time) {
        return time ? std::to_string(time->count()) : "-";
    };
    return fmt::format("[run {} on {} incarnation {} token {}{} started {} ended {} {} as number "
                       "{} listed {} noted {} by token {}]",
                       run.number.value(), run.worker.value(), run.incarnation.value(),
                       run.fencingToken, run.isLate ? " late" : "", run.startedAt.count(),
                       timeOf(run.endedAt), run.how, run.endNumber, timeOf(run.listedAt),
                       timeOf(run.notedAt), run.notedByToken);
}

std::string describe(const SoakAnswer &answer)
{
    return fmt::format("{} {} at {}, sent {}, received {}: {} {}", answer.method,
                       answer.job.value(), answer.instance.value(), answer.sentAt.count(),
                       answer.receivedAt.count(), answer.status, answer.state);
}

} // namespace

SoakAudit::SoakAudit(const SoakJournal &journal, std::vector<SoakJob> jobs,
                     const std::vector<SoakAnswer> &unfinished, std::int64_t fleetMillicores)
    : fleetMillicores_(fleetMillicores)
    , disturbances_(journal.disturbances())
{
    for (SoakRun &run : journal.runs())
        runs_[run.task].push_back(std::move(run));
    for (SoakJob &job : jobs)
        jobs_[job.name] = std::move(job);
    for (const auto &[task, runs] : runs_) {
        checkOverlaps(runs);
        checkStartsAfterDone(runs);
    }
    for (const auto &[name, job] : jobs_) {
        checkJob(job);
        checkOrder(job);
        checkAttempts(job);
        checkGangs(job);
        checkWait(job);
    }
    for (const SoakAnswer &answer : journal.answers())
        checkAnswer(answer);
    std::map<JobName, std::vector<SoakAnswer>> unfinishedJobs;
    for (const SoakAnswer &answer : unfinished)
        unfinishedJobs[answer.job].push_back(answer);
    for (const auto &[job, answers] : unfinishedJobs)
        checkUnfinished(job, answers);
}

std::vector<SoakFinding> SoakAudit::findings() const
{
    return findings_;
}

void SoakAudit::checkOverlaps(const Runs &runs)
{
    for (std::size_t a = 0; a < runs.size(); ++a) {
        for (std::size_t b = a + 1; b < runs.size(); ++b) {
            const Milliseconds now = soakNow();
            const Milliseconds from = std::max(runs[a].startedAt, runs[b].startedAt);
            const Milliseconds to
                    = std::min(runs[a].endedAt.value_or(now), runs[b].endedAt.value_or(now));
            if (from < to) {
                add("TWICE",
                    fmt::format("{}: two runs at once for {} ms: {} {}", runs[a].task.value(),
                                (to - from).count(), describe(runs[a]), describe(runs[b])));
                return;
            }
        }
    }
}

void SoakAudit::checkStartsAfterDone(const Runs &runs)
{
    for (const SoakRun &done : runs) {
        for (const SoakRun &later : runs) {
            if (done.how == "done" && done.notedAt && later.startedAt > *done.endedAt) {
                add("TWICE",
                    fmt::format("{}: started after an end as done, {} ms after it was noted, {} ms "
                                "after the first start: {} {}",
                                done.task.value(), (later.startedAt - *done.notedAt).count(),
                                (later.startedAt - done.startedAt).count(), describe(done),
                                describe(later)));
                return;
            }
        }
    }
}

void SoakAudit::checkJob(const SoakJob &job)
{
    const bool isRejected = !job.acceptedAt && !job.isOpen;
    for (const SoakTaskId &task : job.tasks) {
        const auto runs = runs_.find(task);
        if (runs == runs_.end())
            continue;
        if (isRejected)
            add("REFUSED", fmt::format("{} {}", task.value(), describe(runs->second.front())));
        for (const SoakRun &run : runs->second) {
            if (job.cancelledAt
                && run.endedAt.value_or(soakNow()) > *job.cancelledAt + cancelBound + stableWindow)
                add("UNASKED",
                    fmt::format("{} runs on after its job was cancelled at {}: {}", task.value(),
                                job.cancelledAt->count(), describe(run)));
        }
    }
}

void SoakAudit::checkAnswer(const SoakAnswer &answer)
{
    const SoakJob &job = jobs_.at(answer.job);
    if (answer.state == "completed") {
        for (const SoakTaskId &task : job.tasks) {
            if (!isDoneBy(job, task, answer.receivedAt))
                add("MIXED", describe(answer) + ", but not done: " + task.value());
        }
    }
    if (answer.state == "failed" && job.finalState != "failed"
        && wronglyFailed_.insert(job.name).second)
        add("LOST", describe(answer) + ", but no task has failed as often as it may");
    if (isDisturbed(answer.instance.value(), answer.sentAt, answer.receivedAt)
        || isDisturbed("store", answer.sentAt, answer.receivedAt))
        return;
    if (answer.status == 0)
        add("UNANSWERED", describe(answer));
    if (answer.method == "GET" && answer.status == 410 && job.acceptedAt && !job.isCancelSent
        && answer.sentAt > *job.acceptedAt + visibleAfter)
        add("LOST", fmt::format("{}; accepted at {}", describe(answer), job.acceptedAt->count()));
}

void SoakAudit::checkUnfinished(const JobName &job, const std::vector<SoakAnswer> &answers)
{
    std::string text = job.value() + " is not shown as completed in the end:";
    for (const SoakAnswer &answer : answers)
        text += fmt::format(" {} {} at {};", answer.status, answer.state, answer.instance.value());
    for (const SoakTaskId &task : jobs_.at(job).tasks) {
        text += " " + task.value();
        for (const SoakRun &run : runs_[task])
            text += " " + describe(run);
    }
    add("LOST", text);
}

bool SoakAudit::isDisturbed(const std::string &target, Milliseconds from, Milliseconds to) const
{
    return std::ranges::any_of(disturbances_, [&](const SoakDisturbance &disturbance) {
        return disturbance.target == target && disturbance.from <= to
                && disturbance.to + stableWindow >= from;
    });
}

void SoakAudit::checkOrder(const SoakJob &job)
{
    for (const SoakTaskId &task : job.tasks) {
        const auto runs = runs_.find(task);
        if (runs == runs_.end() || soakStepOf(task) == 0)
            continue;
        for (const SoakTaskId &earlier : job.tasks) {
            if (soakStepOf(earlier) + 1 == soakStepOf(task)
                && !isDoneBy(job, earlier, runs->second.front().startedAt))
                add("ORDER",
                    fmt::format("{} before the end of {}: {}", task.value(), earlier.value(),
                                describe(runs->second.front())));
        }
    }
}

void SoakAudit::checkAttempts(const SoakJob &job)
{
    std::map<std::string, std::vector<Milliseconds>> failures;
    const auto unitOf = [&](const SoakTaskId &task) {
        return job.gangs.at(soakStepOf(task)) ? soakStepNameOf(task) : task.value();
    };
    for (const SoakTaskId &task : job.tasks) {
        for (const SoakRun &run : runs_[task]) {
            if (run.how == "failed" && run.notedAt)
                failures[unitOf(task)].push_back(*run.endedAt);
        }
    }
    for (const SoakTaskId &task : job.tasks) {
        std::vector<Milliseconds> &ends = failures[unitOf(task)];
        std::ranges::sort(ends);
        if (static_cast<std::int64_t>(ends.size()) < SoakClients::maxAttempts)
            continue;
        const Milliseconds last = ends[SoakClients::maxAttempts - 1];
        for (const SoakRun &run : runs_[task]) {
            if (run.startedAt > last)
                add("BUDGET", task.value() + " starts again: " + describe(run));
        }
    }
}

void SoakAudit::checkGangs(const SoakJob &job)
{
    for (const SoakTaskId &task : job.tasks) {
        if (!job.gangs.at(soakStepOf(task)))
            continue;
        for (const SoakRun &run : runs_[task]) {
            if (run.how != "done" || !run.notedAt)
                continue;
            for (const SoakTaskId &member : job.tasks) {
                if (member == task || soakStepOf(member) != soakStepOf(task))
                    continue;
                for (const SoakRun &later : runs_[member]) {
                    if (later.startedAt > *run.endedAt)
                        add("TWICE",
                            fmt::format(
                                    "{}: started after the end of its gang by {} as done: {} {}",
                                    member.value(), task.value(), describe(run), describe(later)));
                }
            }
        }
    }
}

void SoakAudit::checkWait(const SoakJob &job)
{
    const SoakTaskId &first = job.tasks.front();
    // A narrow step may wait for its only worker, and a gang for several at a time.
    if (!job.acceptedAt || job.isCancelSent || job.gangs.front()
        || SoakAdvice::isNarrow(soakStepNameOf(first)))
        return;
    Milliseconds startedAt = soakNow();
    for (const SoakTaskId &task : job.tasks) {
        for (const SoakRun &run : runs_[task])
            startedAt = std::min(startedAt, run.startedAt);
    }
    const Milliseconds from = startedAt - idleWaitBound;
    const bool isDisturbed = std::ranges::any_of(disturbances_, [&](const auto &disturbance) {
        return disturbance.from <= startedAt && disturbance.to + stableWindow >= from;
    });
    if (from < *job.acceptedAt || isDisturbed)
        return;
    const std::int64_t used = mostMillicores(from, startedAt);
    if (used * 2 < fleetMillicores_)
        add("LOST",
            fmt::format("{} had nothing running from {} to {}; at most {} of {} millicores "
                        "were in use in the last {} ms",
                        job.name.value(), job.acceptedAt->count(), startedAt.count(), used,
                        fleetMillicores_, idleWaitBound.count()));
}

std::int64_t SoakAudit::mostMillicores(Milliseconds from, Milliseconds to) const
{
    std::map<Milliseconds, std::int64_t> changes;
    for (const auto &[task, runs] : runs_) {
        for (const SoakRun &run : runs) {
            if (run.startedAt >= to || run.endedAt.value_or(to) <= from)
                continue;
            changes[std::max(run.startedAt, from)] += run.millicores;
            changes[run.endedAt.value_or(to)] -= run.millicores;
        }
    }
    std::int64_t used = 0;
    std::int64_t most = 0;
    for (const auto &[time, change] : changes) {
        used += change;
        most = std::max(most, used);
    }
    return most;
}

bool SoakAudit::isDoneBy(const SoakJob &job, const SoakTaskId &task, Milliseconds time) const
{
    const bool isGang = job.gangs.at(soakStepOf(task));
    return std::ranges::any_of(job.tasks, [&](const SoakTaskId &other) {
        const bool stands = other == task || (isGang && soakStepOf(other) == soakStepOf(task));
        const auto runs = runs_.find(other);
        return stands && runs != runs_.end()
                && std::ranges::any_of(runs->second, [&](const SoakRun &run) {
                       return run.how == "done" && run.endedAt && *run.endedAt <= time;
                   });
    });
}

void SoakAudit::add(const std::string &rule, std::string text)
{
    findings_.push_back({rule, std::move(text)});
}

} // namespace caraway::tests
