#include "Decisions/ForwardedRequest.h"

#include <fmt/format.h>

namespace caraway {

namespace {

constexpr Milliseconds retryAfterNoHolder(1000);
/// Links resend unacknowledged frames; this covers requests that a link dropped at its limits.
constexpr Milliseconds resendInterval(2000);

} // namespace

const BoundChart<ForwardedRequest> &ForwardedRequest::chart()
{
    static const BoundChart<ForwardedRequest> bound = BoundChart<ForwardedRequest> {
            "ForwardedRequest.scxml",
            {"open", "unsent", "unconfirmed", "sent", "closed"},
            {"answered", "holderKnown", "holderChanged", "notHolder", "resendDue",
             "deadlinePassed"},
            {{"isSubmission", &ForwardedRequest::isSubmission},
             {"mayBeAccepted", &ForwardedRequest::mayBeAccepted}},
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

void ForwardedRequest::onHolder(TimePoint now, const InstanceId &holder, Epoch epoch)
{
    now_ = now;
    const bool changed = holder != holder_ || epoch != epoch_;
    holder_ = holder;
    epoch_ = epoch;
    if (!lifecycle_.handle(*this, Event::HolderKnown) && changed)
        lifecycle_.handle(*this, Event::HolderChanged);
}

void ForwardedRequest::onReply(const HolderReply &reply)
{
    if (reply.notHolder) {
        --unansweredHolders_;
        sentTo_ = {};
        lifecycle_.handle(*this, Event::NotHolder);
        return;
    }
    if (isOpen())
        answer(reply.report);
    lifecycle_.handle(*this, Event::Answered);
}

void ForwardedRequest::onTick(TimePoint now)
{
    now_ = now;
    if (now >= deadline_)
        lifecycle_.handle(*this, Event::DeadlinePassed);
    if (now - sentAt_ >= resendInterval)
        lifecycle_.handle(*this, Event::ResendDue);
}

void ForwardedRequest::drainActions(Actions &actions)
{
    moveActions(actions_, actions);
}

bool ForwardedRequest::isSubmission() const
{
    return std::holds_alternative<HolderSubmit>(request_.body);
}

void ForwardedRequest::send()
{
    sentAt_ = now_;
    const bool isOtherHolder = holder_ != sentTo_ || epoch_ != sentEpoch_;
    auto *submission = std::get_if<HolderSubmit>(&request_.body);
    // A copy of the request may still be in flight, and a second holder cannot determine
    // whether the first one has started the job.
    if (submission && isOtherHolder && (!sentTo_.isEmpty() || wasResent_))
        submission->isFirst = false;
    wasResent_ = wasResent_ || !isOtherHolder;
    unansweredHolders_ += isOtherHolder ? 1 : 0;
    sentTo_ = holder_;
    sentEpoch_ = epoch_;
    actions_.push_back(SendToPeer {holder_, request_});
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
            = fmt::format("The holder of shard {} did not answer in time. Query job {} again.",
                          request_.shard.value(), job_.value());
    answer({.name = job_,
            .state = JobState::Unknown,
            .error = Error {ErrorKind::OutcomeUnknown, message},
            .retryAfter = retryAfterNoHolder});
}

void ForwardedRequest::answer(JobReport report)
{
    actions_.push_back(AnswerCaller {request_.id, std::move(report)});
}

} // namespace caraway
