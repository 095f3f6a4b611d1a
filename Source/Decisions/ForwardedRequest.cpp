#include "Decisions/ForwardedRequest.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace caraway {

namespace {

constexpr Milliseconds retryAfterNoHolder(1000);

} // namespace

const BoundChart<ForwardedRequest> &ForwardedRequest::chart()
{
    static const BoundChart<ForwardedRequest> bound = BoundChart<ForwardedRequest> {
            "ForwardedRequest.scxml",
            {"open", "unsent", "between", "sent", "closed"},
            {"answered", "holderKnown", "holderChanged", "turnedAway", "deadlinePassed"},
            {{"isFirstSubmission", &ForwardedRequest::isFirstSubmission},
             {"mayBeHeld", &ForwardedRequest::mayBeHeld}},
            {{"send", &ForwardedRequest::send},
             {"answerNotRun", &ForwardedRequest::answerNotRun},
             {"answerUnknown",
              &ForwardedRequest::answerUnknown}}}.loadedOrAbort();
    return bound;
}

ForwardedRequest::ForwardedRequest(HolderRequest request, JobName job, TimePoint deadline)
    : request_(std::move(request))
    , job_(std::move(job))
    , deadline_(deadline)
{
}

void ForwardedRequest::onHolder(const InstanceId &holder, Epoch epoch)
{
    const bool changed = holder != holder_ || epoch != epoch_;
    holder_ = holder;
    epoch_ = epoch;
    machine_.handle(*this, Event::HolderKnown);
    if (changed)
        machine_.handle(*this, Event::HolderChanged);
}

void ForwardedRequest::onReply(const HolderReply &reply)
{
    if (reply.notHolder) {
        --unanswered_;
        machine_.handle(*this, Event::TurnedAway);
        return;
    }
    if (isOpen())
        answer(reply.report);
    machine_.handle(*this, Event::Answered);
}

void ForwardedRequest::onTick(TimePoint now)
{
    if (now >= deadline_)
        machine_.handle(*this, Event::DeadlinePassed);
}

void ForwardedRequest::drainActions(Actions &actions)
{
    std::ranges::move(actions_, std::back_inserter(actions));
    actions_.clear();
}

bool ForwardedRequest::isFirstSubmission() const
{
    const auto *submission = std::get_if<HolderSubmit>(&request_.body);
    return submission && submission->isFirst;
}

void ForwardedRequest::send()
{
    actions_.push_back(SendToPeer {holder_, request_});
    ++unanswered_;
    // A holder that gets it after this one cannot know whether this one began it.
    if (auto *submission = std::get_if<HolderSubmit>(&request_.body))
        submission->isFirst = false;
}

void ForwardedRequest::answerNotRun()
{
    const std::string message = fmt::format("No instance holds shard {} yet. Submit again later.",
                                            request_.shard.value());
    answer({.name = job_,
            .state = JobState::NotRun,
            .error = Error {ErrorKind::Unavailable, message},
            .retryAfter = retryAfterNoHolder});
}

void ForwardedRequest::answerUnknown()
{
    const std::string message
            = fmt::format("The holder of shard {} did not answer in time. Ask again for job {}.",
                          request_.shard.value(), job_.value());
    answer({.name = job_,
            .state = JobState::Unknown,
            .error = Error {ErrorKind::FateUnknown, message},
            .retryAfter = retryAfterNoHolder});
}

void ForwardedRequest::answer(JobReport report)
{
    actions_.push_back(AnswerCaller {request_.id, std::move(report)});
}

} // namespace caraway
