#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"

namespace caraway {

/// A caller's request that this entry instance forwards to the holder of the job's shard.
class ForwardedRequest
{
public:
    enum class State { Open, Unsent, Unconfirmed, Sent, Closed };
    enum class Event { Answered, HolderKnown, HolderChanged, NotHolder, ResendDue, DeadlinePassed };
    static const BoundChart<ForwardedRequest> &chart();

    ForwardedRequest(HolderRequest request, JobName job, TimePoint deadline);

    /// Sends the request unless it was last sent to this \a holder in this \a epoch.
    void onHolder(TimePoint now, const InstanceId &holder, Epoch epoch);
    /// Answers the caller with the holder's report, or waits for another holder if the reply's
    /// sender does not hold the shard.
    void onReply(const HolderReply &reply);
    void onTick(TimePoint now);

    bool isOpen() const { return lifecycle_.isIn(State::Open); }
    const ShardId &shard() const { return request_.shard; }
    const HolderRequest &request() const { return request_; }
    void drainActions(Actions &actions);

private:
    bool isSubmission() const;
    bool mayBeAccepted() const { return unansweredHolders_ > 0; }
    void send();
    void answerNotRun();
    void answerUnknown();
    void answer(JobReport report);

    HolderRequest request_;
    JobName job_;
    TimePoint deadline_;
    TimePoint now_;
    TimePoint sentAt_;
    InstanceId holder_;
    Epoch epoch_;
    InstanceId sentTo_;
    Epoch sentEpoch_;
    bool wasResent_ = false;
    /// Number of holders that were sent the request and did not reply that they do not hold the
    /// shard; each may have accepted it.
    int unansweredHolders_ = 0;
    Lifecycle<ForwardedRequest> lifecycle_;
    Actions actions_;
};

} // namespace caraway
