#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"

namespace caraway {

/// A caller's request that this entry instance brings to the holder of its shard.
class ForwardedRequest
{
public:
    enum class State { Open, Unsent, Between, Sent, Closed };
    enum class Event {
        Answered,
        HolderKnown,
        HolderChanged,
        TurnedAway,
        ResendDue,
        DeadlinePassed
    };
    static const BoundChart<ForwardedRequest> &chart();

    ForwardedRequest(HolderRequest request, JobName job, TimePoint deadline);

    /// Sends the request if \a holder is another one than it was last sent to.
    void onHolder(TimePoint now, const InstanceId &holder, Epoch epoch);
    /// Answers the caller with the holder's report, or waits for another holder.
    void onReply(const HolderReply &reply);
    void onTick(TimePoint now);

    bool isOpen() const { return machine_.isIn(State::Open); }
    const ShardId &shard() const { return request_.shard; }
    const HolderRequest &request() const { return request_; }
    void drainActions(Actions &actions);

private:
    bool isSubmission() const;
    bool mayBeHeld() const { return unanswered_ > 0; }
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
    /// How many holders were sent the request and have not turned it away.
    int unanswered_ = 0;
    Lifecycle<ForwardedRequest> machine_;
    Actions actions_;
};

} // namespace caraway
