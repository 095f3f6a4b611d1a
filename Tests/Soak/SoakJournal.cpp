#include "Soak/SoakJournal.h"

#include <fmt/format.h>

#include <chrono>
#include <thread>

namespace caraway::tests {

namespace {

std::string describe(const SoakRun &run)
{
    return fmt::format("run {} of {} on {} incarnation {} token {}", run.number.value(),
                       run.task.value(), run.worker.value(), run.incarnation.value(),
                       run.fencingToken);
}

} // namespace

Milliseconds soakNow()
{
    static const auto startedAt = std::chrono::steady_clock::now();
    return Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::steady_clock::now() - startedAt)
                                .count());
}

void soakSleep(Milliseconds duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
}

std::int64_t soakUnixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

SoakJournal::SoakJournal(const std::string &file)
    : file_(file)
{
}

void SoakJournal::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    writeLocked(line);
}

void SoakJournal::writeLocked(const std::string &line)
{
    file_ << soakNow().count() << " unix_ms=" << soakUnixMs() << ' ' << line << std::endl;
}

std::size_t SoakJournal::addRun(SoakRun run)
{
    const std::lock_guard lock(mutex_);
    run.startedAt = soakNow();
    writeLocked(describe(run) + (run.isLate ? " starts late" : " starts"));
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void SoakJournal::endRun(std::size_t run, const std::string &how, std::int64_t number)
{
    const std::lock_guard lock(mutex_);
    runs_[run].endedAt = soakNow();
    runs_[run].how = how;
    runs_[run].endNumber = number;
    writeLocked(fmt::format("{} ends {} as number {}", describe(runs_[run]), how, number));
}

void SoakJournal::listEnd(std::size_t run)
{
    const std::lock_guard lock(mutex_);
    if (runs_[run].listedAt)
        return;
    runs_[run].listedAt = soakNow();
    writeLocked(describe(runs_[run]) + " is listed as ended");
}

void SoakJournal::noteEnd(std::size_t run, bool hasLapsed, std::int64_t token)
{
    const std::lock_guard lock(mutex_);
    if (!hasLapsed) {
        runs_[run].notedAt = soakNow();
        runs_[run].notedByToken = token;
    }
    writeLocked(fmt::format("{} is acknowledged by token {}{}", describe(runs_[run]), token,
                            hasLapsed ? " after a lapse" : ""));
}

void SoakJournal::addWorkerCrash(const WorkerId &worker)
{
    const std::lock_guard lock(mutex_);
    ++workerCrashes_;
    writeLocked("worker " + worker.value() + " crashes");
}

void SoakJournal::addAnswer(SoakAnswer answer)
{
    const std::lock_guard lock(mutex_);
    writeLocked(fmt::format("client {} {} at {} sent {}: {} {}", answer.method, answer.job.value(),
                            answer.instance.value(), answer.sentAt.count(), answer.status,
                            answer.state));
    answers_.push_back(std::move(answer));
}

void SoakJournal::addDisturbance(const std::string &target, Milliseconds from, Milliseconds to)
{
    const std::lock_guard lock(mutex_);
    disturbances_.push_back({target, from, to});
}

std::vector<SoakRun> SoakJournal::runs() const
{
    const std::lock_guard lock(mutex_);
    return {runs_.begin(), runs_.end()};
}

std::size_t SoakJournal::workerCrashes() const
{
    const std::lock_guard lock(mutex_);
    return workerCrashes_;
}

std::vector<SoakAnswer> SoakJournal::answers() const
{
    const std::lock_guard lock(mutex_);
    return answers_;
}

std::vector<SoakDisturbance> SoakJournal::disturbances() const
{
    const std::lock_guard lock(mutex_);
    return disturbances_;
}

} // namespace caraway::tests
