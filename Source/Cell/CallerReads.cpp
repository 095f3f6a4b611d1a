// The job states of CallerRequestHandler: what is known of them, and callers' reads.

#include "Cell/CallerRequestHandler.h"

namespace caraway::cell {

const CallerRequestHandler::KnownJob *CallerRequestHandler::findKnownJob(const JobId &job) const
{
    const auto found = known_.find(job);
    return found == known_.end() ? nullptr : &found->second;
}

bool CallerRequestHandler::isCurrent(const KnownJob &job) const
{
    return isFinal(job.state)
            || (handlers_.areStatesCurrent() && job.contact == handlers_.holderContact());
}

std::optional<JobState> CallerRequestHandler::currentState(const JobId &job) const
{
    const KnownJob *known = findKnownJob(job);
    if (known && isFinal(known->state))
        return known->state;
    // A job that has started does not become pending again.
    if (const std::optional<JobState> state = handlers_.stateAtHolder(job))
        return std::max(*state, lastKnownState(job));
    return known && isCurrent(*known) ? std::optional(known->state) : std::nullopt;
}

JobState CallerRequestHandler::lastKnownState(const JobId &job) const
{
    const KnownJob *known = findKnownJob(job);
    return known ? known->state : JobState::Pending;
}

void CallerRequestHandler::recordState(const JobId &job, JobState state)
{
    KnownJob &known = known_[job];
    if (isFinal(known.state))
        return;
    known = {state, context_.now(), handlers_.holderContact()};
}

void CallerRequestHandler::confirmState(const JobId &job, JobState state, HolderContact contact)
{
    KnownJob &known = known_[job];
    if (!isCurrent(known))
        known = {std::max(known.state, state), context_.now(), contact};
}

void CallerRequestHandler::read(const CallerRequest &request, const JobId &job)
{
    if (const std::optional<JobState> state = currentState(job))
        answerState(request.id, *state);
    else
        readJobRecord(request, job);
}

void CallerRequestHandler::readJobRecord(const CallerRequest &request, const JobId &job)
{
    ++storeLookups_;
    context_.callStore(StoreGet {{RecordType::Jobs, job.value()}},
                       [this, request, job](const StoreReply &reply) {
                           --storeLookups_;
                           if (reply.outcome == StoreOutcome::Done)
                               onJobRecordRead(request, job);
                           else if (reply.outcome == StoreOutcome::NotFound)
                               readResult(request.id, job);
                           else if (findKnownJob(job))
                               answerState(request.id, lastKnownState(job));
                           else
                               answer(request.id, CallerOutcome::NotReady);
                       });
}

void CallerRequestHandler::onJobRecordRead(const CallerRequest &request, const JobId &job)
{
    // Whoever relayed a request may be wrong about who the holder is; it is not relayed again.
    const bool mayAsk = !currentState(job) && !relayHandlers_.contains(request.id);
    if (mayAsk && handlers_.askHolder(request)) {
        holderQueries_[request.id] = {job, handlers_.holderContact()};
        return;
    }
    answerState(request.id, currentState(job).value_or(lastKnownState(job)));
}

void CallerRequestHandler::onHolderAnswered(CallerRequestId caller,
                                            const std::optional<CallerAnswer> &answer)
{
    const auto found = holderQueries_.find(caller);
    if (found == holderQueries_.end())
        return;
    const HolderQuery query = found->second;
    holderQueries_.erase(found);
    if (answer && answer->outcome == CallerOutcome::State) {
        if (isFinal(answer->state))
            recordState(query.job, answer->state);
        else
            confirmState(query.job, answer->state, query.askedIn);
    }
    answerState(caller, lastKnownState(query.job));
}

/// The job has no job record, so it has finished or was never accepted.
void CallerRequestHandler::readResult(CallerRequestId caller, const JobId &job)
{
    ++storeLookups_;
    context_.callStore(StoreGet {{RecordType::Results, job.value()}},
                       [this, caller, job](const StoreReply &reply) {
                           --storeLookups_;
                           const JobResult *result = nullptr;
                           if (!reply.items.empty())
                               result = std::get_if<JobResult>(&reply.items.front().value);
                           if (reply.outcome == StoreOutcome::Done && result) {
                               recordState(job, result->state);
                               answerState(caller, result->state);
                           } else if (reply.outcome == StoreOutcome::NotFound) {
                               context_.log("event=unknown_job job={}", job.value());
                               answer(caller, CallerOutcome::UnknownJob);
                           } else {
                               answer(caller, CallerOutcome::NotReady);
                           }
                       });
}

} // namespace caraway::cell
