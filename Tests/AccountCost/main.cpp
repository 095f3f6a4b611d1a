#include "Cell/AccountLedger.h"
#include "Cell/CellJob.h"
#include "Cell/Policy/StartOrder.h"
#include "Cell/WorkerFleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string_view>

namespace {

using namespace caraway;
using namespace caraway::cell;

struct Load
{
    std::size_t workers = 4600;
    std::size_t running = 16'000;
    std::size_t waiting = 4000;
    /// Charged in a row: one second of starts at the peak.
    std::size_t starts = 2200;
    int rounds = 200;
};

constexpr Load smokeLoad {46, 160, 40, 22, 5};
constexpr Resources workerCapacity {Millicores(64'000), Bytes(std::int64_t(256) << 30), {}, {}};
/// The running tasks fill the workers, so that accounts are above their shares.
constexpr Resources taskNeed {Millicores(18'400), Bytes(std::int64_t(8) << 30), {}, {}};

double processorNanoseconds()
{
    constexpr double nanosecondsPerSecond = 1e9;
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * nanosecondsPerSecond
            + static_cast<double>(time.tv_nsec);
}

/// The least processor time of a call, in nanoseconds.
class LeastTime
{
public:
    void measure(const std::function<void()> &call)
    {
        const double begin = processorNanoseconds();
        call();
        const double taken = processorNanoseconds() - begin;
        least_ = least_ ? std::min(*least_, taken) : taken;
    }
    double nanoseconds() const { return least_.value_or(0); }

private:
    std::optional<double> least_;
};

/// The ledger's part of scheduling passes over a fleet whose running and waiting work is spread
/// evenly over the accounts.
class AccountCost
{
public:
    AccountCost(const Load &load, std::size_t accounts)
        : load_(load)
    {
        configure(accounts);
        addWorkers();
        addWaitingSteps();
        for (std::size_t i = 0; i < load.starts; ++i)
            charges_.push_back({randomAccount(), taskNeed});
    }

    void run()
    {
        for (int round = 0; round < load_.rounds; ++round)
            measurePass();
        constexpr double nanosecondsPerMicrosecond = 1e3;
        const auto microseconds = [](const LeastTime &time) {
            return time.nanoseconds() / nanosecondsPerMicrosecond;
        };
        double pass = 0;
        fmt::print("| {} |", ids_.size());
        for (const LeastTime *part :
             {&capacity_, &begin_, &running_, &waiting_, &shares_, &picking_}) {
            pass += microseconds(*part);
            fmt::print(" {:.1f} |", microseconds(*part));
        }
        fmt::print(" {:.0f} | {:.1f} | {:.1f} | {:.0f} |\n", pass,
                   picking_.nanoseconds() / static_cast<double>(load_.waiting),
                   charging_.nanoseconds() / static_cast<double>(load_.starts),
                   finding_.nanoseconds() / static_cast<double>(load_.starts));
    }

    /// Tasks that may start; printed, so that no step of the passes can be left out.
    std::int64_t startable() const { return startable_; }

private:
    void configure(std::size_t accounts)
    {
        CellConfiguration configuration;
        configuration.version = ConfigurationVersion(1);
        configuration.hasAccounts = true;
        for (std::size_t i = 0; i < accounts; ++i) {
            ClientAccount account;
            account.id = AccountId(fmt::format("account-{:04}", i));
            account.cap.processors = Millicores(2 * workerCapacity.processors.count()
                                                * static_cast<std::int64_t>(load_.workers)
                                                / static_cast<std::int64_t>(accounts));
            ids_.push_back(account.id);
            configuration.accounts.push_back(std::move(account));
        }
        ledger_.configure(configuration);
    }

    void addWorkers()
    {
        Roster roster;
        std::vector<WorkerId> ids;
        for (std::size_t i = 0; i < load_.workers; ++i) {
            ids.emplace_back(fmt::format("i-{:08x}", i));
            roster.workers.insert(ids.back());
        }
        fleet_.startTerm(FencingToken(1), roster, TimePoint());
        for (const WorkerId &id : ids) {
            WorkerEntry entry;
            entry.id = id;
            entry.address = {id.value(), 1};
            entry.capacity = workerCapacity;
            fleet_.setEntry(entry);
        }
        readWorkers();
        for (std::size_t i = 0; i < load_.running; ++i) {
            WorkerFleet::StartRequest request;
            request.task.job = JobId(fmt::format("{:016x}", i));
            request.charge = {randomAccount(), taskNeed};
            fleet_.reserve(ids[random_() % ids.size()], request);
        }
    }

    /// Makes the workers usable: each lists that it has no runs, then the store confirms the
    /// holder.
    void readWorkers()
    {
        fleet_.tick(false);
        for (const WorkerCall &call : context_.takeActions().workers)
            context_.complete(call.id, WorkerReply {WorkerOutcome::Done, WorkerTime(1)});
        context_.setTime(context_.now() + Milliseconds(1), WallTime());
        fleet_.setConfirmedAt(context_.now());
        fleet_.tick(false);
        const auto usable = std::ranges::count_if(
                fleet_.workers(), [&](const auto &row) { return fleet_.isUsable(row.second); });
        if (static_cast<std::size_t>(usable) != load_.workers)
            throw std::logic_error(fmt::format("only {} workers are usable", usable));
    }

    void addWaitingSteps()
    {
        for (std::size_t i = 0; i < load_.waiting; ++i) {
            AcceptedJob accepted;
            accepted.spec.id = JobId(fmt::format("{:016x}", load_.running + i));
            accepted.spec.steps.emplace_back().need = taskNeed;
            jobs_.push_back(
                    std::make_unique<CellJob>(std::move(accepted), JobProgress(), TimePoint()));
            CellJob &job = *jobs_.back();
            job.account = randomAccount();
            candidates_.push_back({&job, &job.steps().front()});
        }
    }

    void measurePass()
    {
        Resources capacity;
        capacity_.measure([&] { capacity = usableCapacity(); });
        begin_.measure([&] { ledger_.beginPass(capacity); });
        running_.measure([&] { countRunning(); });
        waiting_.measure([&] {
            for (const StartCandidate &candidate : candidates_)
                ledger_.addWaiting(candidate.job->account);
        });
        shares_.measure([&] { ledger_.finishCounting(); });
        picking_.measure([&] { pickAll(); });
        charging_.measure([&] {
            for (const AccountCharge &charge : charges_)
                ledger_.addRunning(charge);
        });
        finding_.measure([&] {
            for (const AccountCharge &charge : charges_)
                ledger_.numberOf(ledger_.idOf(charge.account));
        });
    }

    // The next two do what CellScheduler::countAccounts does.
    Resources usableCapacity() const
    {
        Resources capacity;
        for (const auto &[id, worker] : fleet_.workers()) {
            if (fleet_.isUsable(worker))
                capacity += worker.entry->capacity;
        }
        return capacity;
    }

    void countRunning()
    {
        for (const auto &[id, worker] : fleet_.workers()) {
            for (const Placement &placement : worker.placements)
                ledger_.addRunning(placement.charge);
            ledger_.addUnknown(fleet_.unknownUse(worker));
        }
    }

    /// What CellScheduler::startInOrder asks the ledger when it comes to all candidates.
    void pickAll()
    {
        yielding_.clear();
        for (const StartCandidate &candidate : candidates_) {
            if (ledger_.isAboveShare(candidate.job->account))
                yielding_.push_back(&candidate);
            else
                countStartable(candidate);
        }
        for (const StartCandidate *candidate : yielding_)
            countStartable(*candidate);
    }

    void countStartable(const StartCandidate &candidate)
    {
        startable_ += ledger_.startableTasks(
                candidate.job->account, candidate.step->spec.need,
                static_cast<std::int64_t>(candidate.step->counts.waiting));
    }

    AccountNumber randomAccount() { return ledger_.numberOf(ids_[random_() % ids_.size()]); }

    Load load_;
    std::mt19937_64 random_ {1};
    AccountLedger ledger_;
    std::vector<AccountId> ids_;
    CellContext context_ {CellSettings(), ProcessId()};
    WorkerFleet fleet_ {context_, {}};
    std::vector<std::unique_ptr<CellJob>> jobs_;
    std::vector<StartCandidate> candidates_;
    std::vector<const StartCandidate *> yielding_;
    std::vector<AccountCharge> charges_;
    std::int64_t startable_ = 0;
    LeastTime capacity_;
    LeastTime begin_;
    LeastTime running_;
    LeastTime waiting_;
    LeastTime shares_;
    LeastTime picking_;
    LeastTime charging_;
    LeastTime finding_;
};

} // namespace

/// Prints the processor time that the ledger of accounts takes in a scheduling pass, and for each
/// start; the least of many passes. `smoke` runs a small load.
int main(int argc, char *argv[])
{
    const bool isSmoke = argc > 1 && std::string_view(argv[1]) == "smoke";
    const Load load = isSmoke ? smokeLoad : Load();
    fmt::print("{} workers, {} tasks running, {} steps waiting\n\n", load.workers, load.running,
               load.waiting);
    fmt::print("| accounts | capacity, us | reset, us | running, us | waiting, us | weights, us "
               "| picking, us | pass, us | pick of a step, ns | charge, ns | number of a name, ns "
               "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    std::int64_t startable = 0;
    for (const std::size_t accounts : {10, 100, 1000}) {
        AccountCost cost(load, accounts);
        cost.run();
        startable += cost.startable();
    }
    fmt::print("\nstartable tasks, all passes: {}\n", startable);
    return 0;
}
