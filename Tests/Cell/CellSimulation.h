#pragma once

#include "Cell/CapacityHistory.h"
#include "Cell/CellInstance.h"
#include "Cell/SimulatedStore.h"
#include "Cell/SimulatedWorker.h"

#include <memory>
#include <queue>
#include <set>

namespace caraway::tests {

/// Entry instances, workers, a store and a policy service in simulated time, with a record of all
/// runs. Tests inject faults by setting the functions below.
class CellSimulation
{
public:
    enum class Delivery {
        Delivered,
        /// Executed, but the reply is lost.
        AnswerLost,
        /// Neither executed nor answered.
        Lost,
        /// Executed, but not even its timeout is reported, as when a full ring drops the reply.
        ReplyDropped,
        /// Neither executed nor reported as unanswered.
        Dropped,
        /// Refused immediately, not executed.
        Refused,
        /// Refused immediately and at each later attempt, not executed; of the store only.
        Invalid,
        /// The connection is refused, so that nothing is sent.
        NotSent,
    };
    struct ObservedRun
    {
        cell::TaskKey task;
        cell::RunNumber run;
        WorkerId worker;
        TimePoint startedAt;
        std::optional<TimePoint> completedAt;
        cell::CompletionReason reason = cell::CompletionReason::Succeeded;
        /// The run ended with a crash of the worker.
        bool crashed = false;
        /// The success was acknowledged, and the worker's lease did not expire between the two.
        bool acknowledged = false;
    };

    /// Processor time of what an instance does.
    struct ProcessorPrices
    {
        Microseconds event;
        /// A call to a worker or to the store.
        Microseconds call;
        /// A step that a scheduling pass tries to start.
        Microseconds candidate;
        /// A thousand workers that a scheduling pass considers.
        Microseconds thousandWorkerChecks;
    };

    CellSimulation(std::size_t instances, std::size_t workers);
    ~CellSimulation();

    /// How calls and peer messages are delivered; without a function, all of them are Delivered.
    std::function<Delivery(const InstanceId &, const cell::StoreRequest &)> storeDelivery;
    std::function<Delivery(const InstanceId &, const cell::WorkerRequest &)> workerDelivery;
    std::function<Delivery(const InstanceId &, const cell::PeerMessage &)> peerDelivery;
    /// By how much the reply to a call to the store is delayed; not at all without a function.
    std::function<Milliseconds(const cell::StoreRequest &)> storeReplyDelay;
    /// By how much a call arrives late at its worker; not at all without a function.
    std::function<Milliseconds(const cell::WorkerRequest &)> workerDelay;
    /// By how much a worker's reply is delayed; not at all without a function.
    std::function<Milliseconds(const cell::WorkerRequest &)> workerReplyDelay;
    std::function<Delivery(const InstanceId &, const cell::ApprovalRequest &)> approvalDelivery;
    /// Duration and completion reason of each run; by default 500 ms and success.
    std::function<SimulatedWorker::RunPlan(const cell::TaskKey &, cell::RunNumber)> plan;
    /// Whether the policy service approves the worker for the step; by default it always does.
    std::function<bool(const cell::StepKey &, const WorkerId &)> approves;
    /// How long the policy service takes to answer a request; 20 ms by default. It serves one
    /// request at a time for each instance.
    std::function<Milliseconds(const cell::ApprovalRequest &)> approvalDuration;

    /// An instance handles events, runs passes and makes calls one after the other, and each takes
    /// its price; nothing takes time without prices.
    std::optional<ProcessorPrices> prices;

    TimePoint now() const { return now_; }
    void advance(Milliseconds duration);
    /// Advances until \a condition holds; returns false when it does not hold within \a limit.
    bool advanceUntil(const std::function<bool()> &condition, Milliseconds limit);

    cell::CellConfiguration configuration;
    void publishConfiguration();
    /// Processors of an instance by its index; takes effect at its next start.
    std::map<std::size_t, Millicores> processors;
    /// By how much the time of day of an instance is ahead, by its index.
    std::map<std::size_t, Milliseconds> timeOfDayLeads;
    void publishWorkers();
    void publishWorker(std::size_t worker);
    /// The worker announces in its entry that it leaves after \a remaining at the earliest.
    void announceLeaving(std::size_t worker, Milliseconds remaining);
    /// The worker's process ends with its runs, and its entry is removed.
    void removeWorker(std::size_t worker);
    /// The worker has another capacity from now on; its entry shows it after \a shownAfter.
    void changeCapacity(std::size_t worker, const Resources &capacity,
                        Milliseconds shownAfter = {});
    /// The worker's process restarts with another capacity; its entry shows both after
    /// \a shownAfter.
    void restartWorker(std::size_t worker, const Resources &capacity, Milliseconds shownAfter);
    /// The worker's process ends with its runs; its entry stays.
    void crashWorker(std::size_t worker) { workers_.at(worker)->leave(); }
    /// Starts the worker's process again and publishes its entry.
    void restartWorker(std::size_t worker);
    std::size_t indexOf(const WorkerId &worker) const;
    /// What callers see of a worker that has crashed, until it has restarted.
    Delivery deliveryWhileDown = Delivery::Lost;
    /// Whether the entry of a worker is removed when it crashes, and added when it runs again.
    bool removesEntriesOnCrash = false;
    /// Whether a crashed worker returns under another id at its address; its entry is removed then.
    bool renamesOnReturn = false;
    SimulatedStore &store() { return store_; }
    SimulatedWorker &worker(std::size_t index) { return *workers_.at(index); }
    const SimulatedWorker &worker(std::size_t index) const { return *workers_.at(index); }

    /// The account key of the requests that follow; empty for none.
    cell::AccountKey key;
    /// Submits a job through an instance. The returned id identifies the answer.
    cell::CallerRequestId submit(std::size_t instance, const cell::JobSpec &job,
                                 const std::string &host = "host");
    cell::CallerRequestId read(std::size_t instance, const cell::JobId &job);
    cell::CallerRequestId cancel(std::size_t instance, const cell::JobId &job);
    cell::CallerRequestId count(std::size_t instance);
    std::optional<cell::CallerAnswer> answerOf(cell::CallerRequestId request) const;
    /// Submits a job and waits up to 5 s for the answer; Unknown when there is none.
    cell::CallerOutcome submitAndWait(std::size_t instance, const cell::JobSpec &job,
                                      const std::string &host = "host");
    std::optional<cell::JobState> stateOf(std::size_t instance, const cell::JobId &job);

    /// Ends an instance's process; its calls in flight are still delivered.
    void kill(std::size_t instance);
    void restart(std::size_t instance);
    void pause(std::size_t index) { instances_.at(index).isPaused = true; }
    /// The events that waited during the pause are handled before the next tick.
    void resume(std::size_t index);
    bool isRunning(std::size_t index) const
    {
        return instances_.at(index).cellInstance && !instances_.at(index).isPaused;
    }
    std::optional<std::size_t> holder() const;
    cell::CellInstance &instance(std::size_t index) { return *instances_.at(index).cellInstance; }
    /// Processor time spent in the decisions of an instance, in seconds.
    double processorSecondsOf(std::size_t index) const
    {
        return instances_.at(index).processorSeconds;
    }

    const std::vector<ObservedRun> &starts() const { return starts_; }
    std::size_t startsOf(const cell::JobId &job) const;
    /// The number of pairs of simultaneous runs of one task.
    std::size_t overlaps() const;
    /// The number of starts of tasks after a success that was acknowledged then or later, without
    /// an expiry of the lease between the two.
    std::size_t startsAfterSuccess() const;
    /// The number of starts that exceeded the capacity of a worker. Less capacity than before
    /// counts after 4.5 s; a run counts until it has ended.
    std::size_t overloads() const { return overloads_; }
    /// Likewise, with less capacity counting as soon as the holder may have read the entry.
    std::size_t promptOverloads() const { return promptOverloads_; }
    /// Log lines of all instances.
    std::string log;

    static cell::JobSpec job(const std::string &id, std::int64_t tasks = 1);

private:
    struct Instance
    {
        InstanceId id;
        std::unique_ptr<cell::CellInstance> cellInstance;
        bool isPaused = false;
        std::uint64_t incarnation = 0;
        std::vector<cell::CellEvent> pendingEvents;
        double processorSeconds = 0;
        TimePoint approvalsBusyUntil;
        /// The time, since the start of the simulation, until which the processor is in use.
        Microseconds busyUntil;
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    cell::CellSettings settingsOf(std::size_t index) const;
    cell::WallTime wallTimeOf(std::size_t index) const;
    void schedule(Milliseconds delay, std::function<void()> action);
    void deliver(std::size_t instance, std::uint64_t incarnation, const cell::CellEvent &event);
    /// Handles the events as one batch.
    void handle(std::size_t instance, const std::vector<cell::CellEvent> &events);
    /// Handles the events that have waited for the processor, as many as fit in a batch.
    void handleWaiting(std::size_t instance);
    bool isBusy(const Instance &instance) const;
    /// Uses the processor of an instance from now on.
    void use(std::size_t instance, Microseconds processorTime);
    void execute(std::size_t instance, const cell::CellActions &actions);
    void call(std::size_t instance, const cell::StoreCall &call);
    void call(std::size_t instance, const cell::WorkerCall &call);
    void call(std::size_t instance, const cell::ApprovalCall &call);
    void send(std::size_t instance, const cell::PeerSend &message);
    cell::CallerRequestId sendRequest(std::size_t instance, cell::CallerRequest request);
    void step();
    void publishEntry(std::size_t worker, Milliseconds delay);
    bool fitsSince(const SimulatedWorker &worker, const Resources &used, Milliseconds age) const;
    void recordStart(const SimulatedWorker &worker, const SimulatedWorker::Run &run);
    void recordCompletion(const SimulatedWorker &worker, const SimulatedWorker::Run &run,
                          cell::CompletionReason reason);
    void recordAcknowledgement(const SimulatedWorker &worker, const cell::CompletedRun &completion);
    void recordCrash(const SimulatedWorker &worker);
    void rename(SimulatedWorker &worker);
    void breakGangElsewhere(const SimulatedWorker::Run &run);

    TimePoint now_ {Milliseconds(1'000'000)};
    std::uint64_t lastEventNumber_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    SimulatedStore store_;
    std::vector<std::unique_ptr<SimulatedWorker>> workers_;
    std::vector<Instance> instances_;
    std::map<std::uint64_t, cell::CallerAnswer> answers_;
    std::uint64_t lastRequest_ = 0;
    std::vector<ObservedRun> starts_;
    std::map<std::string, Resources> needs_;
    std::set<cell::StepKey> gangs_;
    std::map<WorkerId, CapacityHistory> capacities_;
    std::size_t overloads_ = 0;
    std::size_t promptOverloads_ = 0;
};

} // namespace caraway::tests
