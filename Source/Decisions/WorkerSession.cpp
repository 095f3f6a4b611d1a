#include "Decisions/WorkerSession.h"

#include <algorithm>

namespace caraway {

namespace {

/// Heartbeats go out this much more often while a worker has something to say.
constexpr std::int64_t busyHeartbeatDivisor = 4;

/// A lease counts from the answer before, so it must outlast two intervals and a lost heartbeat.
constexpr std::int64_t heartbeatsPerLease = 4;

} // namespace

const BoundChart<WorkerSession> &WorkerSession::chart()
{
    static const BoundChart<WorkerSession> bound = BoundChart<WorkerSession> {
            "WorkerSession.scxml",
            {"unread", "leased", "lapsed"},
            {"answered", "leaseRanOut"},
            {},
            {}}.loadedOrAbort();
    return bound;
}

const std::vector<WorkerSession::Attempt> &WorkerSession::Outbox::send()
{
    sent_ = std::ssize(attempts_);
    return attempts_;
}

void WorkerSession::Outbox::acknowledge()
{
    attempts_.erase(attempts_.begin(), attempts_.begin() + std::exchange(sent_, 0));
}

WorkerSession::WorkerSession(WorkerMember member, TimePoint now, const DecisionSettings &settings)
    : member_(std::move(member))
    , settings_(&settings)
{
    beginRecovery(now);
}

void WorkerSession::beginRecovery(TimePoint now)
{
    machine_ = {};
    session_ = {};
    beat_ = {};
    // The last holder renewed no longer than the grace past its lease, which ended before now.
    leaseEndsBy_ = now + settings_->renewalGrace + settings_->taskLease + settings_->leaseMargin;
    heartbeatSentAt_ = {};
    heartbeatOutstanding_ = false;
    attempts_.clear();
    known_ = {};
    taken_ = {};
    stopped_ = {};
    voided_.clear();
}

void WorkerSession::setListed(const WorkerMember &member)
{
    member_ = member;
    unlistedSince_.reset();
}

void WorkerSession::setUnlisted(TimePoint now)
{
    if (!unlistedSince_)
        unlistedSince_ = now;
}

bool WorkerSession::isOpen() const
{
    return isAnswering_ && machine_.isIn(State::Leased) && !unlistedSince_
            && member_.state == MemberState::Live;
}

bool WorkerSession::isGone(TimePoint now) const
{
    const Milliseconds longest
            = settings_->renewalGrace + settings_->taskLease + settings_->leaseMargin;
    return unlistedSince_ && now - *unlistedSince_ >= longest && attempts_.empty();
}

std::vector<TaskId> WorkerSession::onAnswered(TimePoint now, const HeartbeatAnswered &answer)
{
    isAnswering_ = true;
    heartbeatOutstanding_ = false;
    machine_.handle(*this, Event::Answered);
    known_.acknowledge();
    taken_.acknowledge();
    stopped_.acknowledge();
    leaseEndsBy_ = now + settings_->taskLease + settings_->leaseMargin;
    sessionIsNew_ = answer.session != session_;
    session_ = answer.session;
    beat_ = answer.beat;
    std::vector<TaskId> ended;
    if (!sessionIsNew_)
        return ended;
    for (const auto &[task, session] : attempts_) {
        const auto listed = std::ranges::find(answer.tasks, task, &InventoryEntry::task);
        if (session != session_ && listed == answer.tasks.end())
            ended.push_back(task);
    }
    return ended;
}

bool WorkerSession::endLeaseIfDue(TimePoint now)
{
    return now >= leaseEndsBy_ && machine_.handle(*this, Event::LeaseRanOut);
}

std::optional<HeartbeatWorker> WorkerSession::heartbeatIfDue(TimePoint now, TimePoint renewalsEndAt,
                                                             const ShardId &shard, Epoch epoch)
{
    if (!isHeartbeatDue(now))
        return std::nullopt;
    heartbeatOutstanding_ = true;
    heartbeatSentAt_ = now;
    sessionIsNew_ = false;
    return HeartbeatWorker {shard,
                            member_.id,
                            member_.endpoint,
                            epoch,
                            session_,
                            beat_,
                            mayRenew(now, renewalsEndAt) ? settings_->taskLease : Milliseconds(),
                            known_.send(),
                            taken_.send(),
                            stopped_.send(),
                            voided_};
}

bool WorkerSession::isHeartbeatDue(TimePoint now) const
{
    if (heartbeatOutstanding_)
        return false;
    // A session that another holder began may be about to end.
    if (sessionIsNew_)
        return true;
    const bool isBusy = !voided_.empty() || !stopped_.isEmpty() || !machine_.isIn(State::Leased);
    const Milliseconds interval
            = std::min(settings_->workerHeartbeat, settings_->taskLease / heartbeatsPerLease);
    return now - heartbeatSentAt_ >= (isBusy ? interval / busyHeartbeatDivisor : interval);
}

bool WorkerSession::mayRenew(TimePoint now, TimePoint renewalsEndAt) const
{
    return now < renewalsEndAt
            && (!unlistedSince_ || now - *unlistedSince_ < settings_->renewalGrace);
}

bool WorkerSession::isInSession(const TaskId &task) const
{
    const auto found = attempts_.find(task);
    return found != attempts_.end() && found->second == session_ && machine_.isIn(State::Leased);
}

std::vector<TaskId> WorkerSession::attempts() const
{
    std::vector<TaskId> tasks;
    tasks.reserve(attempts_.size());
    for (const auto &[task, session] : attempts_)
        tasks.push_back(task);
    return tasks;
}

} // namespace caraway
