// Log lines that show the load of the scheduler and why steps wait.

#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Steps that wait for less are not logged.
constexpr Milliseconds longWait {5000};
/// Bounds the lines of one log interval; the steps that have waited longest come first.
constexpr std::size_t maxWaitingLines = 6;

} // namespace

/// Logs the free capacity, the capacity that runs on unreachable workers hold, the cost of the
/// scheduling passes since the last line, and the waiting and running work of each priority.
void CellScheduler::logLoad()
{
    struct Row
    {
        std::size_t jobs = 0;
        std::size_t waitingTasks = 0;
        Millicores waiting;
        Millicores running;
        std::size_t approvalRequests = 0;
    };
    std::map<std::int64_t, Row> rows;
    for (const auto &[id, job] : jobs_) {
        Row &row = rows[queueOf(*job).priority];
        ++row.jobs;
        for (const CellStep &step : job->steps()) {
            const std::size_t onWorkers = step.counts.onWorkers;
            row.running += step.spec.need.processors * static_cast<std::int64_t>(onWorkers);
            if (!isStartable(*job, step))
                continue;
            const std::size_t waiting = step.counts.waiting;
            row.waitingTasks += waiting;
            row.waiting += step.spec.need.processors * static_cast<std::int64_t>(waiting);
            row.approvalRequests += step.approvals.hasOpenRequest ? 1 : 0;
        }
    }
    Millicores free;
    Millicores unreachable;
    std::size_t usable = 0;
    for (const auto &[id, worker] : fleet_.workers()) {
        if (worker.unansweredCalls > 0) {
            for (const Placement &placement : worker.placements)
                unreachable += placement.need.processors;
        }
        if (!fleet_.isUsable(worker))
            continue;
        free += std::max(worker.freeResources().processors, Millicores());
        ++usable;
    }
    context_.log("event=load workers={} usable={} free_millicores={} unreachable_millicores={} "
                 "headroom_millicores={} approval_queue_ms={} unrecorded_jobs={} "
                 "completions_recorded_after_ms={}",
                 fleet_.workers().size(), usable, free.count(), unreachable.count(),
                 headroom_.reservedProcessors(context_.now()).count(),
                 approvalDispatcher_.queuedServiceTime().count(), recorder_.unrecordedJobs(),
                 recorder_.takeLongestDelay().count());
    const PassTotals passes = std::exchange(passTotals_, {});
    context_.log("event=passes count={} candidates={} worker_checks={} processor_us={} "
                 "longest_us={}",
                 passes.passes, passes.candidates, passes.workerChecks,
                 passes.processorTime.count(), passes.longest.count());
    logApprovalDecisions(passes.approvalDecisions);
    logCalls();
    logAccounts();
    for (const auto &[priority, row] : rows) {
        context_.log("event=priority_load priority={} jobs={} waiting_tasks={} "
                     "waiting_millicores={} running_millicores={} approval_requests={}",
                     priority, row.jobs, row.waitingTasks, row.waiting.count(), row.running.count(),
                     row.approvalRequests);
    }
}

/// Logs what the passes since the last line decided about approval requests, if anything.
void CellScheduler::logApprovalDecisions(const ApprovalDecisionCounts &counts)
{
    std::string text;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > 0)
            text += fmt::format(" {}={}", nameOf(static_cast<ApprovalDecision>(i)), counts[i]);
    }
    if (!text.empty())
        context_.log("event=approval_decisions{}", text);
}

void CellScheduler::logCalls()
{
    const CallTotals calls = fleet_.takeCallTotals();
    context_.log("event=calls starts={} stops={} heartbeats={} late_starts={} unanswered={} "
                 "not_sent={} withheld={} unused_acknowledgements={} unanswered_starts={} "
                 "longest_event_delay_ms={}",
                 calls.starts, calls.stops, calls.heartbeats, calls.lateStarts, calls.unanswered,
                 calls.notSent, calls.withheld, calls.unusedAcknowledgements,
                 fleet_.unansweredStarts(),
                 std::exchange(longestEventDelay_, Milliseconds()).count());
}

/// Logs the steps that have been ready for long and do not run, with what decides on their start.
void CellScheduler::logWaitingSteps()
{
    std::vector<StartCandidate> waiting;
    for (auto &[id, job] : jobs_) {
        for (CellStep &step : job->steps()) {
            const bool isDue = step.readySince && context_.now() - *step.readySince >= longWait;
            const std::size_t onWorkers = step.counts.onWorkers;
            if (isDue && !isFinal(job->state()) && step.doneTasks + onWorkers < step.tasks.size())
                waiting.push_back({job.get(), &step, &queueOf(*job), {}, {}});
        }
    }
    const auto count = std::min(waiting.size(), maxWaitingLines);
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count),
                      waiting.end(), [](const StartCandidate &a, const StartCandidate &b) {
                          return a.step->readySince < b.step->readySince;
                      });
    waiting.resize(count);
    for (const StartCandidate &candidate : waiting)
        logWaitingStep(candidate);
}

void CellScheduler::logWaitingStep(const StartCandidate &candidate) const
{
    const CellStep &step = *candidate.step;
    const StepApprovals &approvals = step.approvals;
    struct Workers
    {
        std::size_t eligible = 0;
        std::size_t usable = 0;
        std::size_t approved = 0;
        std::size_t denied = 0;
        std::size_t undecided = 0;
        std::size_t withTicket = 0;
        std::int64_t room = 0;
        std::int64_t approvedRoom = 0;
        std::int64_t undecidedRoom = 0;
        std::int64_t ticketRoom = 0;
    } workers;
    for (const auto &[id, worker] : fleet_.workers()) {
        if (!worker.isListed || !isEligible(worker, candidate))
            continue;
        ++workers.eligible;
        if (!fleet_.isUsable(worker))
            continue;
        ++workers.usable;
        const std::int64_t room
                = step.spec.allocation().timesIn(worker.freeResources(), step.spec.tasks);
        const bool isApproved = approvals.isApproved(worker.number());
        const bool hasTicket = approvals.validTicket(worker.number(), context_.now()) != nullptr;
        workers.approved += isApproved ? 1 : 0;
        const bool isDenied = approvals.isDenied(worker.number());
        const bool isUndecided = !isApproved && !isDenied;
        workers.denied += isDenied ? 1 : 0;
        workers.undecided += isUndecided ? 1 : 0;
        workers.withTicket += hasTicket ? 1 : 0;
        workers.room += room;
        workers.approvedRoom += isApproved ? room : 0;
        workers.undecidedRoom += isUndecided ? room : 0;
        workers.ticketRoom += hasTicket ? room : 0;
    }
    std::size_t awaitingEvidence = 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
        awaitingEvidence += awaitsCrashEvidence(step, i) ? 1 : 0;
    context_.log(
            "event=step_waits job={} step={} gang={} ready_for_ms={} startable={} "
            "accepted_generation={} tasks={} done={} waiting={} unrecorded={} lost={} stopping={} "
            "awaiting_evidence={} eligible={} usable={} room={} approved={} approved_room={} "
            "denied={} undecided={} undecided_room={} tickets={} ticket_room={} "
            "request_open_ms={} approval_decision={} unanswered={} reserved_for_gangs={}",
            step.key.job.value(), step.key.step.value(), step.spec.gang,
            (context_.now() - *step.readySince).count(), isStartable(*candidate.job, step),
            candidate.job->accepted().generation, step.tasks.size(), step.doneTasks,
            step.counts.waiting, step.countTasks(CellTask::State::Unrecorded),
            step.countTasks(CellTask::State::Lost), step.countTasks(CellTask::State::Stopping),
            awaitingEvidence, workers.eligible, workers.usable, workers.room, workers.approved,
            workers.approvedRoom, workers.denied, workers.undecided, workers.undecidedRoom,
            workers.withTicket, workers.ticketRoom,
            approvals.hasOpenRequest ? (context_.now() - approvals.requestedAt).count() : -1,
            nameOf(approvals.requestDecision), approvals.isUnanswered, gangWorkers_.size());
}

} // namespace caraway::cell
