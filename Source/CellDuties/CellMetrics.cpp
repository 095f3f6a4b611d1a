#include "CellDuties/CellMetrics.h"

#include <array>

namespace caraway::cell {

namespace {

constexpr std::array storeCallNames
        = {"get", "list", "watch", "commit", "grant_lease", "renew_lease", "end_lease"};
constexpr std::array workerCallNames = {"start", "stop", "hold"};
constexpr std::array outcomeNames
        = {"accepted", "state",     "cancelled", "counted", "unknown_queue", "unknown_job",
           "refused",  "not_ready", "invalid",   "unknown", "unauthorized",  "forbidden"};
static_assert(outcomeNames.size() == callerOutcomes);

} // namespace

void CellMetrics::count(const CellActions &actions)
{
    for (const StoreCall &call : actions.store)
        metrics_.observe({Metric::StoreCalls, 1, storeCallNames.at(call.request.index())});
    for (const WorkerCall &call : actions.workers) {
        metrics_.observe(
                {Metric::WorkerCalls, 1, workerCallNames.at(call.request.command.index())});
        if (std::holds_alternative<WorkerStart>(call.request.command))
            metrics_.observe({Metric::TaskStarts, 1, "task"});
    }
    for (const CallerAnswer &answer : actions.answers) {
        metrics_.observe({Metric::CallerRequests, 1,
                          outcomeNames.at(static_cast<std::size_t>(answer.outcome))});
    }
    for (const PeerSend &message : actions.peers)
        metrics_.observe({Metric::PeerFramesSent, static_cast<double>(message.to.size()), {}});
}

void CellMetrics::countReply(const WorkerReplied &replied)
{
    metrics_.observe({Metric::WorkerReplies, 1, std::string(nameOf(replied.reply.outcome))});
    if (replied.isIdentified)
        metrics_.observe({Metric::WorkerCalls, 1, "identify"});
}

void CellMetrics::observePass(const PassReport &report, Microseconds processorTime)
{
    constexpr double microsecondsPerSecond = 1e6;
    metrics_.observe({Metric::SchedulingPasses, 1, {}});
    metrics_.observe({Metric::PassSeconds,
                      static_cast<double>(processorTime.count()) / microsecondsPerSecond,
                      {}});
    metrics_.observe({Metric::PassCandidates, static_cast<double>(report.candidates), {}});
    metrics_.observe({Metric::PassWorkerChecks, static_cast<double>(report.workerChecks), {}});
    for (std::size_t i = 0; i < report.approvalDecisions.size(); ++i) {
        const std::size_t count = report.approvalDecisions[i];
        if (count > 0) {
            metrics_.observe({Metric::ApprovalDecisions, static_cast<double>(count),
                              std::string(nameOf(static_cast<ApprovalDecision>(i)))});
        }
    }
}

void CellMetrics::countEvents(std::size_t events)
{
    metrics_.observe({Metric::EventsHandled, static_cast<double>(events), {}});
}

} // namespace caraway::cell
