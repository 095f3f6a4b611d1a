#pragma once

#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"
#include "Decisions/Settings.h"

#include <map>
#include <optional>
#include <vector>

namespace caraway {

/// One worker as seen by the holder of its shard: its session, its attempts, and the time by which
/// they have all ended.
///
/// The holder sends heartbeats. The worker answers each with its session and a number, and the next
/// heartbeat repeats both. The lease of a session is the time until which the worker may run tasks
/// of that session. A heartbeat that repeats the session and number of an answer sets the end of
/// the lease to the time of that answer, not of the heartbeat, plus the task lease, however late
/// the heartbeat arrives. The holder can repeat only answers that it has received, so the lease has
/// expired one task lease after the last answer was received. A start names its session, and an
/// expired session is never resumed, so no delayed start runs later.
class WorkerSession
{
public:
    enum class State { Unread, Leased, Expired };
    enum class Event { Answered, LeaseExpired };
    static const BoundChart<WorkerSession> &chart();

    using Attempt = std::pair<TaskId, AttemptNumber>;

    WorkerSession(WorkerMember member, TimePoint now, const DecisionSettings &settings);

    /// Discards all state; attempts of an earlier holder may be running.
    void startRecovery(TimePoint now);
    void updateMember(const WorkerMember &member);
    void markRemoved(TimePoint now);
    const WorkerMember &member() const { return member_; }

    bool isUnread() const { return lifecycle_.isIn(State::Unread); }
    /// Whether starts may be sent to the worker.
    bool isOpen() const;
    /// Whether the worker was removed from the worker list and no attempt can run on it.
    bool isRemovable(TimePoint now) const;

    /// Processes an answer. Returns the tasks whose attempts ended with an earlier session, without
    /// those that the answer's inventory lists.
    std::vector<TaskId> onAnswered(TimePoint now, const HeartbeatAnswered &answer);
    void onUnanswered()
    {
        heartbeatOutstanding_ = false;
        isResponsive_ = false;
    }
    /// Expires the lease if its time has passed, and returns whether it did so. Every attempt on
    /// the worker has ended by then.
    bool expireLeaseIfDue(TimePoint now);
    /// The next heartbeat, if one is due. It renews the lease only before \a renewalsEndAt.
    std::optional<HeartbeatWorker> heartbeatIfDue(TimePoint now, TimePoint renewalsEndAt,
                                                  const ShardId &shard, Epoch epoch);

    const SessionId &session() const { return session_; }
    void addAttempt(const TaskId &task) { attempts_[task] = session_; }
    void removeAttempt(const TaskId &task) { attempts_.erase(task); }
    /// Whether the attempt of \a task belongs to the worker's current session.
    bool isInSession(const TaskId &task) const;
    std::vector<TaskId> attempts() const;

    void addKnown(Attempt attempt) { known_.add(std::move(attempt)); }
    void addAcknowledged(Attempt attempt) { acknowledged_.add(std::move(attempt)); }
    void addStopped(Attempt attempt) { stopped_.add(std::move(attempt)); }
    void addVoided(Attempt attempt) { voided_.push_back(std::move(attempt)); }
    void removeVoided(const Attempt &attempt) { std::erase(voided_, attempt); }

private:
    /// Attempts that every heartbeat lists until one that listed them is answered.
    class PendingAttempts
    {
    public:
        void add(Attempt attempt) { attempts_.push_back(std::move(attempt)); }
        const std::vector<Attempt> &send();
        void removeSent();
        bool isEmpty() const { return attempts_.empty(); }

    private:
        std::vector<Attempt> attempts_;
        std::ptrdiff_t sent_ = 0;
    };

    bool mayRenew(TimePoint now, TimePoint renewalsEndAt) const;
    bool isHeartbeatDue(TimePoint now) const;

    WorkerMember member_;
    const DecisionSettings *settings_;
    Lifecycle<WorkerSession> lifecycle_;
    SessionId session_;
    HeartbeatNumber beat_;
    /// The time by which every lease renewed by this holder or an earlier one has expired.
    TimePoint leaseExpiresAt_;
    std::optional<TimePoint> removedSince_;
    TimePoint heartbeatSentAt_;
    bool heartbeatOutstanding_ = false;
    /// Whether the last heartbeat was answered. If not, no task is placed on the worker; running
    /// tasks keep their lease.
    bool isResponsive_ = true;
    bool isSessionNew_ = false;
    /// The tasks with an attempt on the worker, with the session in which each was started.
    std::map<TaskId, SessionId> attempts_;
    PendingAttempts known_;
    PendingAttempts acknowledged_;
    PendingAttempts stopped_;
    std::vector<Attempt> voided_;
};

} // namespace caraway
