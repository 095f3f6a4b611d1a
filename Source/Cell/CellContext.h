#pragma once

#include "Cell/CallerMessages.h"
#include "Cell/CellSettings.h"
#include "Cell/PeerMessages.h"
#include "Cell/StoreCalls.h"
#include "Cell/StoreHealth.h"
#include "Cell/WorkerCalls.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <iterator>
#include <memory>
#include <unordered_map>
#include <utility>

namespace caraway::cell {

struct StoreCall
{
    CallId id;
    StoreRequest request;
    Milliseconds timeout;
};

struct WorkerCall
{
    CallId id;
    WorkerRequest request;
    Milliseconds timeout;
};

struct ApprovalCall
{
    CallId id;
    ApprovalRequest request;
    Milliseconds timeout;
};

/// A message to one or more instances, which is encoded once.
struct PeerSend
{
    std::vector<Address> to;
    PeerMessage message;
};

/// Calls, messages and log lines for the duties to carry out after an event.
struct CellActions
{
    std::vector<StoreCall> store;
    std::vector<WorkerCall> workers;
    std::vector<ApprovalCall> approvals;
    std::vector<PeerSend> peers;
    std::vector<CallerAnswer> answers;
    std::vector<std::string> log;
};

/// Calls in flight, each with the handler of its reply. A call without a reply at its deadline is
/// completed as unanswered. Further replies to a call are ignored.
template<class Reply>
class CallTable
{
public:
    using Handler = std::function<void(const Reply &)>;

    void add(CallId id, TimePoint deadline, Handler handler)
    {
        inFlight_.emplace(id, Call {deadline, std::move(handler)});
    }
    void complete(CallId id, const Reply &reply)
    {
        const auto found = inFlight_.find(id);
        if (found == inFlight_.end())
            return;
        const Handler handler = std::move(found->second.handler);
        inFlight_.erase(found);
        handler(reply);
    }
    void expire(TimePoint now)
    {
        std::vector<CallId> overdue;
        for (const auto &[id, call] : inFlight_) {
            if (now >= call.deadline)
                overdue.push_back(id);
        }
        std::sort(overdue.begin(), overdue.end());
        for (const CallId id : overdue)
            complete(id, Reply());
    }

private:
    struct Call
    {
        TimePoint deadline;
        Handler handler;
    };

    std::unordered_map<CallId, Call> inFlight_;
};

/// The time that has passed without the pauses of the process or of one of its duties.
class ActiveTime
{
public:
    /// A tick that was created at \a tickAt has been handled.
    void advance(TimePoint tickAt)
    {
        time_ = time_ + std::clamp(tickAt - lastTick_, Milliseconds(), maxTickGap);
        lastTick_ = std::max(lastTick_, tickAt);
    }
    TimePoint time() const { return time_; }
    /// The active time \a duration after \a now.
    TimePoint after(TimePoint now, Milliseconds duration) const
    {
        return time_ + std::clamp(now - lastTick_, Milliseconds(), maxTickDelay) + duration;
    }

private:
    /// A longer gap between two ticks is a pause, whose replies may be handled after the next tick.
    static constexpr Milliseconds maxTickGap {100};
    /// How late a tick may be handled; a longer time without one is a pause.
    static constexpr Milliseconds maxTickDelay {10'000};

    TimePoint lastTick_;
    TimePoint time_;
};

/// Shared by the parts of one instance: the time of the present event, the settings, and the
/// actions that they add.
class CellContext
{
public:
    CellContext(CellSettings settings, ProcessId self)
        : settings_(std::move(settings))
        , self_(std::move(self))
    {
    }

    const CellSettings &settings() const { return settings_; }
    const ProcessId &self() const { return self_; }
    TimePoint now() const { return now_; }
    WallTime wallTime() const { return wallTime_; }
    void setTime(TimePoint now, WallTime wallTime)
    {
        now_ = now;
        wallTime_ = wallTime;
    }

    /// Completes the calls that neither a reply nor their timeout has completed, as when a full
    /// ring has dropped it. All replies that were received before \a createdAt, and those of
    /// workers that were ready before \a workersServedAt, have been handled, however late this
    /// process is.
    void tick(TimePoint createdAt, TimePoint workersServedAt)
    {
        active_.advance(createdAt);
        workersActive_.advance(workersServedAt);
        storeCalls_.expire(active_.time());
        approvalCalls_.expire(active_.time());
        workerCalls_.expire(workersActive_.time());
    }
    void tick(TimePoint createdAt) { tick(createdAt, createdAt); }

    void callStore(StoreRequest request, CallTable<StoreReply>::Handler handler,
                   Milliseconds timeout = defaultStoreTimeout)
    {
        const CallId id = nextCall();
        // A watch that waits for changes shows little about the store's health.
        const bool countsForHealth = !std::holds_alternative<StoreWatch>(request);
        storeCalls_.add(
                id, active_.after(now_, timeout + replyMargin),
                [this, countsForHealth, handler = std::move(handler)](const StoreReply &reply) {
                    if (countsForHealth)
                        recordStoreOutcome(reply.outcome);
                    handler(reply);
                });
        actions_.store.push_back({id, std::move(request), timeout});
    }
    void callWorker(WorkerRequest request, Milliseconds timeout,
                    CallTable<WorkerReply>::Handler handler)
    {
        const CallId id = nextCall();
        workerCalls_.add(id, workersActive_.after(now_, timeout + replyMargin), std::move(handler));
        actions_.workers.push_back({id, std::move(request), timeout});
    }
    void callApprovals(ApprovalRequest request, Milliseconds timeout,
                       CallTable<ApprovalReply>::Handler handler)
    {
        const CallId id = nextCall();
        approvalCalls_.add(id, active_.after(now_, timeout + replyMargin), std::move(handler));
        actions_.approvals.push_back({id, std::move(request), timeout});
    }
    void send(const Address &to, PeerMessage message)
    {
        actions_.peers.push_back({{to}, std::move(message)});
    }
    void broadcast(std::vector<Address> to, PeerMessage message)
    {
        if (!to.empty())
            actions_.peers.push_back({std::move(to), std::move(message)});
    }
    void answer(CallerAnswer answer) { actions_.answers.push_back(answer); }

    void complete(CallId id, const StoreReply &reply) { storeCalls_.complete(id, reply); }
    void complete(CallId id, const WorkerReply &reply) { workerCalls_.complete(id, reply); }
    void complete(CallId id, const ApprovalReply &reply) { approvalCalls_.complete(id, reply); }

    /// Adds a log line: time in ms since the start, the event's name, then fields as name=value.
    template<class... Arguments>
    void log(fmt::format_string<Arguments...> format, Arguments &&...arguments)
    {
        std::string line = fmt::format("t={} ", now_.sinceStart().count());
        fmt::format_to(std::back_inserter(line), format, std::forward<Arguments>(arguments)...);
        // Names come from other processes and may contain line breaks or terminal controls.
        std::replace_if(
                line.begin(), line.end(), [](unsigned char c) { return std::iscntrl(c) != 0; },
                '?');
        actions_.log.push_back(std::move(line));
    }

    const StoreHealth &storeHealth() const { return storeHealth_; }

    CellActions takeActions() { return std::exchange(actions_, {}); }

    /// The store usually answers within milliseconds; a call that takes sixty times as long has not
    /// failed yet.
    static constexpr Milliseconds defaultStoreTimeout {1000};

private:
    /// From a call's timeout in its duty until the decisions have handled it.
    static constexpr Milliseconds replyMargin {300};

    void recordStoreOutcome(StoreOutcome outcome)
    {
        const bool wasServing = storeHealth_.isServing();
        storeHealth_.record(outcome, now_);
        if (wasServing != storeHealth_.isServing())
            log("event=store_{}", wasServing ? "unavailable" : "available");
    }
    CallId nextCall() { return lastCall_ = lastCall_.next(); }

    CellSettings settings_;
    ProcessId self_;
    TimePoint now_;
    WallTime wallTime_;
    ActiveTime active_;
    ActiveTime workersActive_;
    CallId lastCall_;
    CellActions actions_;
    StoreHealth storeHealth_;
    CallTable<StoreReply> storeCalls_;
    CallTable<WorkerReply> workerCalls_;
    CallTable<ApprovalReply> approvalCalls_;
};

} // namespace caraway::cell
