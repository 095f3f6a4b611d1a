#include "Decisions/WorkerSession.h"

#include <algorithm>

namespace caraway {

namespace {

/// Factor by which heartbeats are more frequent while an answer from the worker is needed soon.
constexpr std::int64_t urgentHeartbeatDivisor = 4;

/// The heartbeat interval is at most the task lease divided by this: the lease counts from the
/// previous answer, so it must outlast two intervals and a lost heartbeat.
constexpr std::int64_t heartbeatsPerLease = 4;

} // namespace

const BoundChart<WorkerSession> &WorkerSession::chart()
{
    static const BoundChart<WorkerSession> bound = BoundChart<WorkerSession> {
            "WorkerSession.scxml",
            {"unread", "leased", "expired"},
            {"answered", "leaseExpired"},
            {},
            {}}.loadedOrAbort();
    return bound;
}

const std::vector<WorkerSession::Attempt> &WorkerSession::PendingAttempts::send()
{
    sent_ = std::ssize(attempts_);
    return attempts_;
}

void WorkerSession::PendingAttempts::removeSent()
{
    attempts_.erase(attempts_.begin(), attempts_.begin() + std::exchange(sent_, 0));
}

WorkerSession::WorkerSession(WorkerMember member, TimePoint now, const DecisionSettings &settings)
    : member_(std::move(member))
    , settings_(&settings)
{
    startRecovery(now);
}

void WorkerSession::startRecovery(TimePoint now)
{
    lifecycle_ = {};
    session_ = {};
    beat_ = {};
    // The previous holder renewed for at most renewalGrace after its shard lease expired, and that
    // lease expired before now.
    leaseExpiresAt_ = now + settings_->renewalGrace + settings_->taskLease + settings_->leaseMargin;
    heartbeatSentAt_ = {};
    heartbeatOutstanding_ = false;
    attempts_.clear();
    known_ = {};
    acknowledged_ = {};
    stopped_ = {};
    voided_.clear();
}

void WorkerSession::updateMember(const WorkerMember &member)
{
    member_ = member;
    removedSince_.reset();
}

void WorkerSession::markRemoved(TimePoint now)
{
    if (!removedSince_)
        removedSince_ = now;
}

bool WorkerSession::isOpen() const
{
    return isResponsive_ && lifecycle_.isIn(State::Leased) && !removedSince_
            && member_.state == MemberState::Live;
}

bool WorkerSession::isRemovable(TimePoint now) const
{
    const Milliseconds longest
            = settings_->renewalGrace + settings_->taskLease + settings_->leaseMargin;
    return removedSince_ && now - *removedSince_ >= longest && attempts_.empty();
}

std::vector<TaskId> WorkerSession::onAnswered(TimePoint now, const HeartbeatAnswered &answer)
{
    isResponsive_ = true;
    heartbeatOutstanding_ = false;
    lifecycle_.handle(*this, Event::Answered);
    known_.removeSent();
    acknowledged_.removeSent();
    stopped_.removeSent();
    leaseExpiresAt_ = now + settings_->taskLease + settings_->leaseMargin;
    isSessionNew_ = answer.session != session_;
    session_ = answer.session;
    beat_ = answer.beat;
    std::vector<TaskId> ended;
    if (!isSessionNew_)
        return ended;
    for (const auto &[task, session] : attempts_) {
        const auto listed = std::ranges::find(answer.tasks, task, &InventoryEntry::task);
        if (session != session_ && listed == answer.tasks.end())
            ended.push_back(task);
    }
    return ended;
}

bool WorkerSession::expireLeaseIfDue(TimePoint now)
{
    return now >= leaseExpiresAt_ && lifecycle_.handle(*this, Event::LeaseExpired);
}

std::optional<HeartbeatWorker> WorkerSession::heartbeatIfDue(TimePoint now, TimePoint renewalsEndAt,
                                                             const ShardId &shard, Epoch epoch)
{
    if (!isHeartbeatDue(now))
        return std::nullopt;
    heartbeatOutstanding_ = true;
    heartbeatSentAt_ = now;
    isSessionNew_ = false;
    return HeartbeatWorker {shard,
                            member_.id,
                            member_.endpoint,
                            epoch,
                            session_,
                            beat_,
                            mayRenew(now, renewalsEndAt) ? settings_->taskLease : Milliseconds(),
                            known_.send(),
                            acknowledged_.send(),
                            stopped_.send(),
                            voided_};
}

bool WorkerSession::isHeartbeatDue(TimePoint now) const
{
    if (heartbeatOutstanding_)
        return false;
    // A session that another holder started may be about to end.
    if (isSessionNew_)
        return true;
    const bool isUrgent
            = !voided_.empty() || !stopped_.isEmpty() || !lifecycle_.isIn(State::Leased);
    const Milliseconds interval
            = std::min(settings_->workerHeartbeat, settings_->taskLease / heartbeatsPerLease);
    return now - heartbeatSentAt_ >= (isUrgent ? interval / urgentHeartbeatDivisor : interval);
}

bool WorkerSession::mayRenew(TimePoint now, TimePoint renewalsEndAt) const
{
    return now < renewalsEndAt
            && (!removedSince_ || now - *removedSince_ < settings_->renewalGrace);
}

bool WorkerSession::isInSession(const TaskId &task) const
{
    const auto found = attempts_.find(task);
    return found != attempts_.end() && found->second == session_ && lifecycle_.isIn(State::Leased);
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
