#pragma once

#include "Cell/CallerMessages.h"
#include "Cell/CellSettings.h"
#include "Cell/PeerMessages.h"
#include "Cell/StoreCalls.h"
#include "Cell/StoreHealth.h"
#include "Cell/WorkerCalls.h"

#include <fmt/format.h>

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

struct PeerSend
{
    Address to;
    PeerMessage message;
};

/// What the decisions ask of the duties after one event.
struct CellActions
{
    std::vector<StoreCall> store;
    std::vector<WorkerCall> workers;
    std::vector<ApprovalCall> approvals;
    std::vector<PeerSend> peers;
    std::vector<CallerAnswer> answers;
    std::vector<std::string> log;
};

/// Calls under way, with what follows from each reply. A reply is taken once.
template<class Reply>
class CallTable
{
public:
    using Continuation = std::function<void(const Reply &)>;

    void add(CallId id, Continuation next) { waiting_.emplace(id, std::move(next)); }
    void complete(CallId id, const Reply &reply)
    {
        const auto found = waiting_.find(id);
        if (found == waiting_.end())
            return;
        const Continuation next = std::move(found->second);
        waiting_.erase(found);
        next(reply);
    }

private:
    std::unordered_map<CallId, Continuation> waiting_;
};

/// What the parts of one instance share: the time of the event, and the way out.
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

    void callStore(StoreRequest request, CallTable<StoreReply>::Continuation next,
                   Milliseconds timeout = defaultStoreTimeout)
    {
        const CallId id = nextCall();
        // A watch that waits tells little of the store.
        const bool tells = !std::holds_alternative<StoreWatch>(request);
        storeCalls_.add(id, [this, tells, next = std::move(next)](const StoreReply &reply) {
            if (tells)
                noteStore(reply.outcome);
            next(reply);
        });
        actions_.store.push_back({id, std::move(request), timeout});
    }
    void callWorker(WorkerRequest request, Milliseconds timeout,
                    CallTable<WorkerReply>::Continuation next)
    {
        const CallId id = nextCall();
        workerCalls_.add(id, std::move(next));
        actions_.workers.push_back({id, std::move(request), timeout});
    }
    void callApprovals(ApprovalRequest request, Milliseconds timeout,
                       CallTable<ApprovalReply>::Continuation next)
    {
        const CallId id = nextCall();
        approvalCalls_.add(id, std::move(next));
        actions_.approvals.push_back({id, std::move(request), timeout});
    }
    void send(const Address &to, PeerMessage message)
    {
        actions_.peers.push_back({to, std::move(message)});
    }
    void answer(CallerAnswer answer) { actions_.answers.push_back(answer); }

    void complete(CallId id, const StoreReply &reply) { storeCalls_.complete(id, reply); }
    void complete(CallId id, const WorkerReply &reply) { workerCalls_.complete(id, reply); }
    void complete(CallId id, const ApprovalReply &reply) { approvalCalls_.complete(id, reply); }

    /// Writes one line: the event's name, then fields as name=value.
    template<class... Arguments>
    void log(fmt::format_string<Arguments...> format, Arguments &&...arguments)
    {
        std::string line = fmt::format("t={} ", now_.sinceStart().count());
        fmt::format_to(std::back_inserter(line), format, std::forward<Arguments>(arguments)...);
        actions_.log.push_back(std::move(line));
    }

    const StoreHealth &storeHealth() const { return storeHealth_; }

    CellActions takeActions() { return std::exchange(actions_, {}); }

    /// The store answers in milliseconds; sixty times that is still no failure.
    static constexpr Milliseconds defaultStoreTimeout {1000};

private:
    void noteStore(StoreOutcome outcome)
    {
        const bool wasServing = storeHealth_.isServing();
        storeHealth_.note(outcome, now_);
        if (wasServing != storeHealth_.isServing())
            log("event=store_{}", wasServing ? "lost" : "regained");
    }
    CallId nextCall() { return lastCall_ = lastCall_.next(); }

    CellSettings settings_;
    ProcessId self_;
    TimePoint now_;
    WallTime wallTime_;
    CallId lastCall_;
    CellActions actions_;
    StoreHealth storeHealth_;
    CallTable<StoreReply> storeCalls_;
    CallTable<WorkerReply> workerCalls_;
    CallTable<ApprovalReply> approvalCalls_;
};

} // namespace caraway::cell
