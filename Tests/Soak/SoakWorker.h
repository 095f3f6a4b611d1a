#pragma once

#include "Soak/SoakAdvice.h"
#include "Soak/SoakJournal.h"
#include "Soak/SoakServer.h"
#include "Soak/SoakStore.h"
#include "Soak/SoakWork.h"

namespace caraway::tests {

/// Times of a worker; they are the deployment's bounds.
struct SoakWorkerTimes
{
    static constexpr Milliseconds beat {1500};
    static constexpr Milliseconds beatRetry {100};
    static constexpr Milliseconds longestLease {6000};
    static constexpr Milliseconds stop {300};
    static constexpr std::int64_t millicores = 16'000;
    /// Of ends that are listed without order, each with a number that this divides is listed late.
    static constexpr std::int64_t lateListedInterval = 7;
    static constexpr Milliseconds lateListing {60};
};

/// A worker. A job's spec is that of its SoakJobPlan.
class SoakWorker
{
public:
    /// \a slowness: how much slower than real time its clock is, in thousandths.
    /// \a listsEndsUnordered: ends are listed in any order, and some of them late.
    SoakWorker(SoakStore &store, SoakJournal &journal, SoakWork &work, SoakAdvice &advice,
               WorkerId id, std::string rack, std::int64_t slowness, bool listsEndsUnordered);
    ~SoakWorker();

    const WorkerId &id() const { return id_; }
    /// The process ends. On a machine that is not cut off, its connections are reset.
    void crash();
    /// The process starts again under the same id; it knows nothing of before. The time of day went
    /// back by \a stepBack since its last start.
    void restart(Milliseconds stepBack);
    /// The worker announces that it leaves after \a remaining at the earliest.
    void announceLeaving(Milliseconds remaining);
    /// Another machine takes the place of the worker, which has crashed or left.
    void replace(WorkerId id);
    /// Cuts the worker off from all instances, and also from the store if \a alsoStore.
    void setCut(bool isCut, bool alsoStore);
    /// Cuts the worker off from the holder with \a token, or from all others if \a isOnHolderSide.
    void cutFromHolder(std::int64_t token, bool isOnHolderSide);
    void healCutFromHolder();
    /// Orders are carried out \a delay after they arrive, and get no answer; 0 for at once.
    /// \a outlivesRestart: also if the process has started again meanwhile.
    void setOrderDelay(Milliseconds delay, bool outlivesRestart);

private:
    using RunKey = std::pair<SoakTaskId, SoakRunNumber>;
    struct Active
    {
        std::size_t run = 0;
        SoakWork::Run work;
        std::optional<Milliseconds> stopsAt;
    };
    struct End
    {
        std::size_t run = 0;
        RunKey key;
        std::string how;
        bool hasLapsed = false;
        Milliseconds listedFrom;
    };

    /// A cut between the worker and holders, which are told apart by their tokens.
    struct HolderCut
    {
        std::int64_t token = 0;
        bool isOnHolderSide = false;
    };

    bool isCutFrom(std::int64_t token) const
    {
        return holderCut_ && (holderCut_->token == token) != holderCut_->isOnHolderSide;
    }
    void begin(Milliseconds stepBack);
    /// Time on the worker's own clock, which starts with the process, in ms.
    std::int64_t clock() const;
    void loop();
    /// Ends what is due and returns when to look again.
    Milliseconds endDueRuns();
    Milliseconds beat();
    SoakResponse handle(const SoakRequest &request);
    SoakResponse start(const nlohmann::json &body, bool isLate);
    SoakResponse stop(const nlohmann::json &body);
    SoakResponse hold(const nlohmann::json &body, std::unique_lock<std::mutex> &lock);
    void acknowledge(std::int64_t through);
    void extendLease(const nlohmann::json &body);
    SoakResponse refusal(const char *reason) const;
    bool hasRoomFor(const SoakTaskId &task, const SoakJobPlan &plan) const;
    nlohmann::json runningRows() const;
    /// Whether an end is listed now.
    bool hasEndsToList() const;
    /// Notes in the journal that the ends are listed.
    nlohmann::json finishedRows();

    SoakStore &store_;
    SoakJournal &journal_;
    SoakWork &work_;
    SoakAdvice &advice_;
    WorkerId id_;
    std::string rack_;
    std::int64_t slowness_;
    bool listsEndsUnordered_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isClosing_ = false;
    bool isUp_ = false;
    bool isStoreCut_ = false;
    std::optional<HolderCut> holderCut_;
    Milliseconds orderDelay_;
    bool doOrdersOutliveRestart_ = false;
    /// Rises with each start of the process.
    std::int64_t life_ = 0;
    SoakIncarnation incarnation_;
    Milliseconds bornAt_;
    std::optional<Milliseconds> leavesAt_;
    std::map<RunKey, Active> running_;
    std::map<std::int64_t, End> ends_;
    std::int64_t lastEnd_ = 0;
    std::int64_t fence_ = 0;
    /// End of the lease on the worker's clock, in ms.
    std::int64_t leaseEnd_ = 0;
    std::map<SoakTaskId, SoakRunNumber> highest_;
    std::int64_t sequence_ = 0;
    Milliseconds nextBeat_;
    SoakServer server_;
    std::thread loop_;
};

} // namespace caraway::tests
