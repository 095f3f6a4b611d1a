#include "Cell/CallerRequestHandler.h"

namespace caraway::cell {

namespace {

/// Each job needs two preconditions and one write of the 32 entries that the store allows in a
/// commit.
constexpr std::size_t jobsPerCommit = 10;
constexpr std::size_t maxCommitsInFlight = 4;
constexpr Milliseconds commitTimeout {900};
/// The answer has to reach the caller before the caller's own timeout.
constexpr Milliseconds answerMargin {250};
constexpr Milliseconds defaultCallerTimeout {3000};
/// Commit attempts before the caller is told to retry, as other instances may reach the store.
constexpr int maxAttempts = 3;
constexpr Milliseconds refusedRetryAfter {1000};
constexpr Milliseconds notReadyRetryAfter {500};
constexpr Milliseconds pruneInterval {5000};
constexpr std::size_t maxTasks = 100'000;

} // namespace

std::string validateJobSpec(const JobSpec &spec)
{
    if (spec.steps.empty())
        return "The job has no steps. Add at least one.";
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec &step = spec.steps[i];
        if (step.tasks < 1)
            return fmt::format("Step {} has no tasks. Add at least one.", i);
        tasks += static_cast<std::size_t>(step.tasks);
        for (const StepIndex dependency : step.after) {
            if (dependency.value() >= i)
                return fmt::format("Step {} depends on itself or a later step. Let it depend on "
                                   "earlier steps only.",
                                   i);
        }
    }
    const auto repetitions
            = static_cast<std::size_t>(std::max<std::int64_t>(1, spec.schedule.runs));
    if (tasks > maxTasks || repetitions > maxTasks || tasks * repetitions > maxTasks)
        return fmt::format("The job has over {} tasks. Split it into smaller jobs.", maxTasks);
    return {};
}

CallerRequestHandler::CallerRequestHandler(CellContext &context,
                                           const ConfigurationCache &configuration,
                                           Handlers handlers)
    : context_(context)
    , configuration_(configuration)
    , authentication_(context, configuration)
    , handlers_(std::move(handlers))
{
}

void CallerRequestHandler::handle(const CallerRequest &request)
{
    const CellConfiguration *configuration = configuration_.current();
    if (!configuration) {
        answer(request.id, CallerOutcome::NotReady);
        return;
    }
    if (!isConfigurationCurrent()) {
        context_.log("event=request_refused request={} reason=configuration_unconfirmed config={} "
                     "confirmed_ms_ago={}",
                     request.id.value(), configuration->version.value(),
                     (context_.now() - configuration_.confirmedAt()).count());
        answer(request.id, CallerOutcome::NotReady);
        return;
    }
    const Queue *queue = configuration->queueAt(request.host, request.path);
    if (!queue) {
        context_.log("event=unknown_queue host={} path={} config={}", request.host, request.path,
                     configuration->version.value());
        answer(request.id, CallerOutcome::UnknownQueue);
        return;
    }
    const Authentication caller = authentication_.authenticate(request, *queue);
    if (caller.outcome == Authentication::Outcome::UnknownKey) {
        refuse(request, CallerOutcome::Unauthorized, *queue,
               request.key.isEmpty() ? "no_key" : "unknown_key");
        return;
    }
    if (const auto *submission = std::get_if<SubmitJob>(&request.body))
        submit(request, *submission, *queue, caller.account);
    else if (const auto *readRequest = std::get_if<ReadJob>(&request.body))
        read(request, readRequest->job);
    else if (const auto *cancellation = std::get_if<CancelJob>(&request.body))
        cancel(request, cancellation->job, *queue, caller.account);
    else
        answerPendingCount(request, *queue);
}

void CallerRequestHandler::refuse(const CallerRequest &request, CallerOutcome outcome,
                                  const Queue &queue, std::string_view reason)
{
    context_.log("event=request_refused request={} reason={} queue={} config={} "
                 "confirmed_ms_ago={}",
                 request.id.value(), reason, queue.id.value(), configuration_.version().value(),
                 (context_.now() - configuration_.confirmedAt()).count());
    answer(request.id, outcome);
}

void CallerRequestHandler::handleRelayed(CallerRequest request, RelayHandler relay)
{
    request.id = lastRelayedId_ = lastRelayedId_.next();
    relayHandlers_.emplace(request.id, std::move(relay));
    handle(request);
}

void CallerRequestHandler::sendAnswer(CallerAnswer answer)
{
    const auto relayed = relayHandlers_.find(answer.id);
    if (relayed == relayHandlers_.end()) {
        context_.answer(answer);
        return;
    }
    const RelayHandler relay = std::move(relayed->second);
    relayHandlers_.erase(relayed);
    relay(answer);
}

void CallerRequestHandler::answer(CallerRequestId caller, CallerOutcome outcome)
{
    CallerAnswer answer;
    answer.id = caller;
    answer.outcome = outcome;
    if (outcome == CallerOutcome::Refused)
        answer.retryAfter = refusedRetryAfter;
    if (outcome == CallerOutcome::NotReady)
        answer.retryAfter = notReadyRetryAfter;
    sendAnswer(answer);
}

void CallerRequestHandler::answerState(CallerRequestId caller, JobState state)
{
    CallerAnswer answer;
    answer.id = caller;
    answer.outcome = CallerOutcome::State;
    answer.state = state;
    sendAnswer(answer);
}

void CallerRequestHandler::submit(const CallerRequest &request, const SubmitJob &submit,
                                  const Queue &queue, const AccountId &account)
{
    const JobId &id = submit.spec.id;
    if (const std::string error = validateJobSpec(submit.spec); !error.empty()) {
        context_.log("event=job_invalid job={} reason=\"{}\"", id.value(), error);
        answer(request.id, CallerOutcome::Invalid);
        return;
    }
    if (findKnownJob(id)) {
        answer(request.id, CallerOutcome::Accepted);
        return;
    }
    if (!context_.storeHealth().isServing() && !submissions_.contains(id)) {
        context_.log("event=job_refused job={} reason=store_unavailable store_answered_ms_ago={}",
                     id.value(), (context_.now() - context_.storeHealth().lastAnswerAt()).count());
        answer(request.id, CallerOutcome::Refused);
        return;
    }
    if (const std::optional<Refusal> refusal = refusalOf(submit.spec, queue, account);
        refusal && !submissions_.contains(id)) {
        refuseUnlessStored(request.id, id, *refusal);
        return;
    }
    const auto [found, isNew] = submissions_.try_emplace(id);
    Submission &submission = found->second;
    submission.callers.push_back(request.id);
    const Milliseconds timeout = request.timeout.value_or(defaultCallerTimeout);
    submission.deadline = std::max(submission.deadline, context_.now() + timeout - answerMargin);
    if (isNew) {
        submission.job.spec = submit.spec;
        submission.job.queue = queue;
        submission.job.generation = handlers_.generation();
        submission.job.acceptedAt = context_.wallTime();
        submission.job.account = account;
        submission.retryAt = context_.now();
    }
    flush();
}

void CallerRequestHandler::flush()
{
    std::vector<JobId> batch;
    for (auto &[id, submission] : submissions_) {
        if (commitsInFlight_ >= maxCommitsInFlight)
            return;
        if (submission.inFlight || context_.now() < submission.retryAt)
            continue;
        if (submission.commitAlone) {
            commit({id});
            continue;
        }
        batch.push_back(id);
        if (batch.size() == jobsPerCommit)
            commit(std::exchange(batch, {}));
    }
    if (!batch.empty())
        commit(batch);
}

void CallerRequestHandler::commit(const std::vector<JobId> &jobs)
{
    StoreCommit commit;
    for (const JobId &id : jobs) {
        Submission &submission = submissions_.at(id);
        submission.inFlight = true;
        commit.require({RecordType::Jobs, id.value()}, Revision());
        commit.require({RecordType::Results, id.value()}, Revision());
        commit.write({RecordType::Jobs, id.value()}, submission.job);
    }
    ++commitsInFlight_;
    context_.callStore(
            std::move(commit),
            [this, jobs, sentIn = handlers_.holderContact()](const StoreReply &reply) {
                onCommitted(jobs, sentIn, reply);
            },
            commitTimeout);
}

void CallerRequestHandler::onCommitted(const std::vector<JobId> &jobs, HolderContact sentIn,
                                       const StoreReply &reply)
{
    --commitsInFlight_;
    for (const JobId &id : jobs)
        submissions_.at(id).inFlight = false;
    switch (reply.outcome) {
    case StoreOutcome::Done:
        for (const JobId &id : jobs)
            finishAccepted(id, true, sentIn);
        break;
    case StoreOutcome::Conflict:
        onConflict(jobs, reply);
        break;
    case StoreOutcome::Unanswered:
        retryLater(jobs, true);
        break;
    default:
        retryLater(jobs, false);
    }
    flush();
}

void CallerRequestHandler::onConflict(const std::vector<JobId> &jobs, const StoreReply &reply)
{
    std::set<std::string> stored;
    for (const StoreItem &item : reply.items) {
        const bool isJob
                = item.key.type == RecordType::Jobs || item.key.type == RecordType::Results;
        if (!isJob || item.revision == Revision())
            continue;
        stored.insert(item.key.name);
        if (const auto *result = std::get_if<JobResult>(&item.value))
            recordState(JobId(item.key.name), result->state);
    }
    for (const JobId &id : jobs) {
        // Not reported to the holder, which reads the job from the store: the job may have
        // finished since it was stored.
        if (stored.contains(id.value()))
            finishAccepted(id, false, HolderContact());
        else
            submissions_.at(id).commitAlone = true;
    }
}

void CallerRequestHandler::retryLater(const std::vector<JobId> &jobs, bool mayBeStored)
{
    for (const JobId &id : jobs) {
        Submission &submission = submissions_.at(id);
        submission.mayBeStored |= mayBeStored;
        submission.retryAt = context_.now() + context_.storeHealth().retryDelay();
        ++submission.attempts;
    }
}

void CallerRequestHandler::finishAccepted(const JobId &id, bool isNew, HolderContact contact)
{
    const auto found = submissions_.find(id);
    const Submission submission = std::move(found->second);
    submissions_.erase(found);
    if (!findKnownJob(id))
        known_[id] = {JobState::Pending, context_.now(), contact};
    context_.log("event=job_accepted job={} queue={} config={} generation={} new={}", id.value(),
                 submission.job.queue.id.value(), configuration_.version().value(),
                 submission.job.generation, isNew);
    if (isNew)
        handlers_.accepted(submission.job);
    for (const CallerRequestId caller : submission.callers)
        answer(caller, CallerOutcome::Accepted);
}

void CallerRequestHandler::abandon(const JobId &id)
{
    const auto found = submissions_.find(id);
    const Submission &submission = found->second;
    context_.log("event=job_not_stored job={} outcome_unknown={} config={}", id.value(),
                 submission.mayBeStored, configuration_.version().value());
    const CallerOutcome outcome
            = submission.mayBeStored ? CallerOutcome::Unknown : CallerOutcome::Refused;
    for (const CallerRequestId caller : submission.callers)
        answer(caller, outcome);
    submissions_.erase(found);
}

void CallerRequestHandler::tick()
{
    const TimePoint now = context_.now();
    std::vector<JobId> unstored;
    for (const auto &[id, submission] : submissions_) {
        const bool isExhausted = submission.attempts >= maxAttempts
                || (submission.attempts > 0 && !context_.storeHealth().isServing());
        if (!submission.inFlight && (now >= submission.deadline || isExhausted))
            unstored.push_back(id);
    }
    for (const JobId &id : unstored)
        abandon(id);
    flush();
    std::deque<Cancellation> cancels = std::exchange(cancelRetries_, {});
    for (const Cancellation &cancellation : cancels) {
        --storeLookups_;
        cancelStored(cancellation);
    }
    if (now < nextPrune_)
        return;
    nextPrune_ = now + pruneInterval;
    const Milliseconds lifetime = context_.settings().resultLifetime;
    std::erase_if(known_, [&](const auto &entry) {
        return isFinal(entry.second.state) && now - entry.second.updatedAt > lifetime;
    });
}

void CallerRequestHandler::updateQueueLoads(const std::vector<QueueLoad> &loads)
{
    queueLoads_.clear();
    for (const QueueLoad &load : loads)
        queueLoads_[load.queue] = load;
}

void CallerRequestHandler::cancel(const CallerRequest &request, const JobId &job,
                                  const Queue &queue, const AccountId &account)
{
    const KnownJob *state = findKnownJob(job);
    if (state && isFinal(state->state)) {
        answer(request.id, CallerOutcome::Cancelled);
        return;
    }
    const Milliseconds timeout = request.timeout.value_or(queue.timeout);
    cancelStored({request.id, job, context_.now() + timeout - answerMargin, {}, account});
}

void CallerRequestHandler::cancelStored(const Cancellation &cancellation)
{
    ++storeLookups_;
    context_.callStore(StoreGet {{RecordType::Jobs, cancellation.job.value()}},
                       [this, cancellation](const StoreReply &reply) {
                           --storeLookups_;
                           if (reply.outcome == StoreOutcome::Done && !reply.items.empty()) {
                               onCancelledJobRead(cancellation, reply.items.front());
                           } else if (reply.outcome == StoreOutcome::NotFound) {
                               answerFinished(cancellation);
                           } else {
                               retryCancel(cancellation);
                           }
                       });
}

void CallerRequestHandler::onCancelledJobRead(const Cancellation &cancellation,
                                              const StoreItem &item)
{
    const auto *job = std::get_if<AcceptedJob>(&item.value);
    // Jobs of public queues have no account, and so may be cancelled by anyone.
    if (job && !job->account.isEmpty() && job->account != cancellation.account) {
        context_.log("event=request_refused request={} reason=other_account job={} config={}",
                     cancellation.caller.value(), cancellation.job.value(),
                     configuration_.version().value());
        answer(cancellation.caller, CallerOutcome::Forbidden);
        return;
    }
    Cancellation next = cancellation;
    next.revision = item.revision;
    commitCancel(next);
}

void CallerRequestHandler::commitCancel(const Cancellation &cancellation)
{
    ++storeLookups_;
    StoreCommit commit;
    commit.require({RecordType::Jobs, cancellation.job.value()}, cancellation.revision);
    commit.write({RecordType::Cancels, cancellation.job.value()},
                 CancelRecord {context_.wallTime()});
    context_.callStore(
            std::move(commit),
            [this, cancellation](const StoreReply &reply) {
                --storeLookups_;
                if (reply.outcome == StoreOutcome::Done) {
                    context_.log("event=job_cancelled job={}", cancellation.job.value());
                    handlers_.cancelled(cancellation.job);
                    answer(cancellation.caller, CallerOutcome::Cancelled);
                } else {
                    retryCancel(cancellation);
                }
            },
            commitTimeout);
}

void CallerRequestHandler::answerFinished(const Cancellation &cancellation)
{
    ++storeLookups_;
    context_.callStore(StoreGet {{RecordType::Results, cancellation.job.value()}},
                       [this, cancellation](const StoreReply &reply) {
                           --storeLookups_;
                           if (reply.outcome == StoreOutcome::Done)
                               answer(cancellation.caller, CallerOutcome::Cancelled);
                           else if (reply.outcome == StoreOutcome::NotFound)
                               answer(cancellation.caller, CallerOutcome::UnknownJob);
                           else
                               retryCancel(cancellation);
                       });
}

void CallerRequestHandler::retryCancel(const Cancellation &cancellation)
{
    if (context_.now() >= cancellation.deadline) {
        answer(cancellation.caller, CallerOutcome::Unknown);
        return;
    }
    ++storeLookups_;
    cancelRetries_.push_back(cancellation);
}

void CallerRequestHandler::answerPendingCount(const CallerRequest &request, const Queue &queue)
{
    if (!handlers_.isHolderContactCurrent()) {
        answer(request.id, CallerOutcome::NotReady);
        return;
    }
    CallerAnswer counted;
    counted.id = request.id;
    counted.outcome = CallerOutcome::Counted;
    const auto found = queueLoads_.find(queue.id);
    counted.queuedJobs = found == queueLoads_.end() ? 0 : found->second.queuedJobs;
    sendAnswer(counted);
}

} // namespace caraway::cell
