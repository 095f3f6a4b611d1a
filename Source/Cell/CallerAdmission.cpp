// The refusals of CallerRequestHandler for overload and for limits of client accounts.

#include "Cell/AccountLedger.h"
#include "Cell/CallerRequestHandler.h"
#include "Cell/CellJob.h"
#include "Decisions/StableHash.h"

#include <algorithm>

namespace caraway::cell {

namespace {

constexpr Milliseconds minRetryAfter {1000};
/// The load of the holder may be quite another one later.
constexpr Milliseconds maxRetryAfter {10'000};
/// Range over which the returns of the refused callers are spread.
constexpr std::uint64_t retrySpreadMs = 1000;

} // namespace

std::optional<CallerRequestHandler::Refusal>
CallerRequestHandler::refusalOf(const JobSpec &spec, const Queue &queue,
                                const AccountId &account) const
{
    // The operator has to raise the cap first.
    if (exceedsCap(spec, account))
        return Refusal {"gang_exceeds_cap", maxRetryAfter};
    if (const std::optional<Milliseconds> excess = excessWait(spec, queue))
        return Refusal {"overload", *excess};
    return std::nullopt;
}

bool CallerRequestHandler::exceedsCap(const JobSpec &spec, const AccountId &id) const
{
    const ClientAccount *account = configuration_.account(id);
    return account && std::any_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec &step) {
               return step.gang && !AccountLedger::fitsCap(account->cap, step.need, step.tasks);
           });
}

std::optional<Milliseconds> CallerRequestHandler::excessWait(const JobSpec &spec,
                                                             const Queue &queue) const
{
    const bool isLongRunning = std::any_of(spec.steps.begin(), spec.steps.end(),
                                           [](const StepSpec &step) { return step.longRunning; });
    // Their value does not depend on an early start.
    if (isLongRunning || spec.schedule.runs > 0 || !handlers_.isHolderContactCurrent())
        return std::nullopt;
    const auto load = queueLoads_.find(queue.id);
    if (load == queueLoads_.end())
        return std::nullopt;
    const Milliseconds criticalPath = criticalPathOf(spec);
    const Milliseconds excess
            = load->second.expectedWait + criticalPath - objectiveOf(queue, criticalPath);
    return excess > Milliseconds() ? std::optional(excess) : std::nullopt;
}

void CallerRequestHandler::refuseUnlessStored(CallerRequestId caller, const JobId &job,
                                              const Refusal &refusal)
{
    ++storeLookups_;
    context_.callStore(StoreGet {{RecordType::Jobs, job.value()}},
                       [this, caller, job, refusal](const StoreReply &reply) {
                           --storeLookups_;
                           if (reply.outcome == StoreOutcome::Done)
                               answer(caller, CallerOutcome::Accepted);
                           else if (reply.outcome == StoreOutcome::NotFound)
                               refuseUnlessFinished(caller, job, refusal);
                           else
                               answer(caller, CallerOutcome::Unknown);
                       });
}

void CallerRequestHandler::refuseUnlessFinished(CallerRequestId caller, const JobId &job,
                                                const Refusal &refusal)
{
    ++storeLookups_;
    context_.callStore(
            StoreGet {{RecordType::Results, job.value()}},
            [this, caller, job, refusal](const StoreReply &reply) {
                --storeLookups_;
                if (reply.outcome != StoreOutcome::NotFound) {
                    const bool isFinished = reply.outcome == StoreOutcome::Done;
                    answer(caller, isFinished ? CallerOutcome::Accepted : CallerOutcome::Unknown);
                    return;
                }
                context_.log("event=job_refused job={} reason={} excess_wait_ms={}", job.value(),
                             refusal.reason, refusal.wait.count());
                CallerAnswer answer;
                answer.id = caller;
                answer.outcome = CallerOutcome::Refused;
                const auto spread
                        = static_cast<std::int64_t>(stableHash(job.value()) % retrySpreadMs);
                answer.retryAfter = std::clamp(refusal.wait, minRetryAfter, maxRetryAfter)
                        + Milliseconds(spread);
                sendAnswer(answer);
            });
}

} // namespace caraway::cell
