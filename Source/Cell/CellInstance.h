#pragma once

#include "Cell/CallerRequestHandler.h"
#include "Cell/CellScheduler.h"
#include "Cell/ConfigurationExchange.h"

namespace caraway::cell {

struct StoreReplied
{
    CallId id;
    StoreReply reply;
};
struct WorkerReplied
{
    CallId id;
    WorkerReply reply;
    /// Whether the worker identified itself on a new connection before the call.
    bool isIdentified = false;
};
struct ApprovalReplied
{
    CallId id;
    ApprovalReply reply;
};
/// The connection to a peer failed or closed; \a refused if nothing listens at its address.
struct PeerLost
{
    Address peer;
    bool refused = false;
};
struct Tick
{
    /// Events that are handled after it were received later.
    TimePoint createdAt;
    /// Replies of workers that were ready before then are handled before it.
    TimePoint workersServedAt;
};
struct StopRequested
{
};

using CellEvent = std::variant<Tick, CallerRequest, StoreReplied, WorkerReplied, ApprovalReplied,
                               PeerFrame, PeerLost, StopRequested>;

/// All decisions of one entry instance, without threads, network or clock: it turns events into
/// actions. Tests and emulators drive it in simulated time.
class CellInstance
{
public:
    CellInstance(CellSettings settings, ProcessId self);

    void start(TimePoint now, WallTime wallTime);
    void handle(TimePoint now, WallTime wallTime, const CellEvent &event);
    /// Runs a scheduling pass and sends state updates that are due. To be called after each batch
    /// of events. Returns what the pass has looked at, and nothing when none was due.
    std::optional<PassReport> runSchedulingPass(TimePoint now, WallTime wallTime);
    /// The last pass ended at \a endedAt.
    void recordPassTime(TimePoint endedAt, const PassDuration &duration)
    {
        scheduler_.recordPassTime(endedAt, duration);
    }
    CellActions takeActions() { return context_.takeActions(); }

    /// Whether new callers should be directed to this instance.
    bool isReady() const;
    bool isStopping() const { return stopping_; }
    /// Whether no caller's request is open.
    bool isIdle() const { return callerRequests_.openRequests() == 0 && relayed_.empty(); }
    bool isHolder() const { return election_.isHolder(); }

private:
    void on(const Tick &tick);
    void on(const CallerRequest &request);
    void on(const StoreReplied &event) { context_.complete(event.id, event.reply); }
    void on(const WorkerReplied &event) { context_.complete(event.id, event.reply); }
    void on(const ApprovalReplied &event) { context_.complete(event.id, event.reply); }
    void on(const PeerFrame &frame);
    void on(const PeerLost &lost);
    void on(const StopRequested &stop);

    void onMessage(const PeerFrame &frame, const PeerHello &hello);
    void onMessage(const PeerFrame &frame, const PeerJobAccepted &message);
    void onMessage(const PeerFrame &frame, const PeerJobCancelled &message);
    void onMessage(const PeerFrame &frame, const PeerApprovalRequest &message);
    void onMessage(const PeerFrame &frame, const PeerApprovalReply &message);
    void onMessage(const PeerFrame &frame, const PeerStateUpdate &message);

    void onMessage(const PeerFrame &frame, const PeerCallerRequest &message);
    void onMessage(const PeerFrame &frame, const PeerCallerAnswer &message);
    void onMessage(const PeerFrame &frame, const PeerConfigurationRequest &message);
    void onMessage(const PeerFrame &frame, const PeerConfigurationReply &message);

    CallerRequestHandler::Handlers callerRequestHandlers();
    /// The instance that can answer this request while the store does not serve this one; none if
    /// it is to be handled here.
    std::optional<Address> relayFor(const CallerRequest &request) const;
    /// Another instance that was heard a short time ago; none if there is no such one.
    std::optional<Address> reachablePeer() const;
    void confirmConfiguration();
    struct RelayedRequest;
    void sendRelayed(CallerRequest request, const RelayedRequest &relayed);
    /// Relays a request for a job's state whose answer is for callerRequests_.
    bool askHolder(const CallerRequest &request);
    /// Answers the relayed requests whose deadline was before \a time; answers received before then
    /// have been handled.
    void expireRelayedRequests(TimePoint time);
    void startTerm();
    void endTerm();
    void loadProgress(std::uint64_t term, const std::optional<RecordKey> &after);
    void loadStartLog(std::uint64_t term, const std::optional<RecordKey> &after);
    void addStartLogSegment(const StoreItem &item);
    void loadSequence(std::uint64_t term, std::size_t sequence);
    bool areSequencesRead() const;
    void loadRoster(std::uint64_t term);
    void loadClosedWorkers(std::uint64_t term, const StoreItem &rosterItem);
    /// Reads the results that earlier holders stored, so that they are removed when their lifetime
    /// expires.
    void loadResults(std::uint64_t term, const std::optional<RecordKey> &after);
    /// Runs \a part again at the next tick, because the store did not answer.
    void retryLater(std::function<void()> part);
    void checkLoaded();
    void onJobOrCancel(const StoreItem &item);
    void onWorkerItem(const StoreItem &item);
    void removeWorker(const WorkerId &id);
    void onStateChanged(const JobId &job, JobState state);
    void broadcast();
    void sendHello();
    bool isHolderContactCurrent() const;
    /// Address of the holder; none if it is unknown or this process.
    std::optional<Address> holderAddress() const;

    /// Sets the time by which the decisions judge what they may still do.
    void setTime(TimePoint now, WallTime wallTime);

    CellContext context_;
    ConfigurationCache configuration_;
    ConfigurationExchange configurationExchange_;
    CellScheduler scheduler_;
    HolderElection election_;
    RecordWatcher jobsAndCancelsWatcher_;
    RecordWatcher workerWatcher_;
    CallerRequestHandler callerRequests_;

    /// The records that a new holder has read so far.
    struct Loading
    {
        std::map<std::string, JobProgress> progress;
        std::vector<AcceptedJob> jobs;
        std::vector<JobId> cancels;
        /// By id, as entries change and are removed while the rest is loaded.
        std::map<WorkerId, WorkerEntry> workers;
        std::array<std::optional<Revision>, ProgressRecorder::sequences> sequences;
        std::optional<Roster> roster;
        /// By position in the log.
        std::map<std::uint64_t, StartLogSegment> startLog;
        bool progressRead = false;
        bool startLogRead = false;
        std::vector<std::function<void()>> retries;
    };
    std::optional<Loading> loading_;
    /// Rises when a term starts or ends, so that replies to calls of an earlier term are dropped.
    std::uint64_t termChanges_ = 0;
    enum class RelayKind {
        Read,
        Change,
        /// Answered by callerRequests_, by the state that the other instance answers with.
        StateQuery,
    };
    /// A caller's request that was relayed to another instance.
    struct RelayedRequest
    {
        CallerRequestId caller;
        Address to;
        TimePoint deadline;
        RelayKind kind = RelayKind::Read;
    };
    /// By the number under which the other instance answers.
    std::map<CallerRequestId, RelayedRequest> relayed_;
    CallerRequestId lastRelay_;
    /// Time of the last contact with each peer.
    std::map<Address, TimePoint> peers_;
    std::vector<JobStateChange> changedStates_;
    TimePoint nextBroadcast_;
    TimePoint nextLoadBroadcast_;
    TimePoint nextHello_;
    TimePoint lastHolderContactAt_;
    HolderContact holderContact_;
    std::uint64_t contactGeneration_ = 0;
    /// The last update received from the holder.
    StateUpdateNumber lastUpdate_;
    /// The last update sent as the holder.
    StateUpdateNumber lastBroadcast_;
    bool holderContacted_ = false;
    bool stopping_ = false;
};

} // namespace caraway::cell
