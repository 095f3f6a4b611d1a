#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Jobs that the holder does not know: those that the former holder starts after the next one has
/// read the jobs, and before it reads the workers, and those that have finished long ago.
class UnknownJobTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnknownJobTest);
    CPPUNIT_TEST(completion_ofAJobThatTheHolderHasNotRead_isRecorded);
    CPPUNIT_TEST(completion_whileTheStoreListsNoJobs_isRecordedOnceItDoes);
    CPPUNIT_TEST(completion_ofAJobThatIsNotStored_isDiscarded);
    CPPUNIT_TEST(run_ofAJobThatTheHolderHasNotRead_isKept);
    CPPUNIT_TEST(run_ofAJobThatIsReadLater_hasNoSecondRunBesideIt);
    CPPUNIT_TEST(run_ofAJobThatIsNotStored_isStopped);
    CPPUNIT_TEST(holder_readingAJobOfALaterTerm_doesNotStartIt);
    CPPUNIT_TEST(job_announcedAfterItsResultHasExpired_isNotAddedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        simulation_ = std::make_unique<CellSimulation>(3, 2);
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                                 longWait));
        simulation_->advance(Milliseconds(1000));
        former_ = *simulation_->holder();
        accepting_ = (former_ + 1) % 3;
        next_ = (former_ + 2) % 3;
        simulation_->plan = [this](const TaskKey &, RunNumber) {
            return SimulatedWorker::RunPlan {duration_, CompletionReason::Succeeded};
        };
    }

    /// Guards against a second run of a task that has succeeded.
    void completion_ofAJobThatTheHolderHasNotRead_isRecorded()
    {
        startUnderTheFormerHolder();
        CPPUNIT_ASSERT(isCompleted(longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(job_));
    }

    void completion_whileTheStoreListsNoJobs_isRecordedOnceItDoes()
    {
        startUnderTheFormerHolder();
        areJobsListed_ = false;
        CPPUNIT_ASSERT(!isCompleted(Milliseconds(8000)));
        areJobsListed_ = true;
        CPPUNIT_ASSERT(isCompleted(longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(job_));
    }

    /// Guards against a worker that keeps all completions behind one that needs no record.
    void completion_ofAJobThatIsNotStored_isDiscarded()
    {
        startUnderTheFormerHolder();
        simulation_->store().remove({RecordType::Jobs, job_.value()});
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), unacknowledgedCompletions());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(job_));
    }

    void run_ofAJobThatTheHolderHasNotRead_isKept()
    {
        duration_ = Milliseconds(3000);
        startUnderTheFormerHolder();
        CPPUNIT_ASSERT(isCompleted(longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(job_));
    }

    /// Guards against two runs of a task at once while the first is being stopped.
    void run_ofAJobThatIsReadLater_hasNoSecondRunBesideIt()
    {
        duration_ = Milliseconds(3000);
        for (std::size_t i = 0; i < 2; ++i)
            simulation_->worker(i).stopDuration = Milliseconds(900);
        startUnderTheFormerHolder();
        simulation_->advance(callDelay);
        areJobsWatched_ = true;
        CPPUNIT_ASSERT(isCompleted(longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    void run_ofAJobThatIsNotStored_isStopped()
    {
        duration_ = longWait;
        startUnderTheFormerHolder();
        simulation_->store().remove({RecordType::Jobs, job_.value()});
        simulation_->advance(Milliseconds(2000));
        const CellSimulation::ObservedRun &run = simulation_->starts().front();
        CPPUNIT_ASSERT(run.completedAt && run.reason == CompletionReason::Stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), unacknowledgedCompletions());
    }

    /// Guards against two runs at once, of the former holder and of the next one.
    void holder_readingAJobOfALaterTerm_doesNotStartIt()
    {
        duration_ = Milliseconds(2000);
        simulation_->storeDelivery = [this](const InstanceId &from, const StoreRequest &request) {
            const bool isCall = !std::holds_alternative<StoreList>(request)
                    && !std::holds_alternative<StoreWatch>(request);
            const bool isCutOff = isCall || reads(request, RecordType::Holder);
            return from == idOf(former_) && isCutOff ? Delivery::Dropped : Delivery::Delivered;
        };
        simulation_->peerDelivery = [this](const InstanceId &from, const PeerMessage &) {
            return from == idOf(former_) ? Delivery::Delivered : Delivery::Lost;
        };
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &request) {
            const std::size_t reachable = from == idOf(former_) ? 0 : 1;
            return simulation_->indexOf(request.worker) == reachable ? Delivery::Delivered
                                                                     : Delivery::Lost;
        };
        const auto claimant
                = [this] { return simulation_->instance(next_).isHolder() ? next_ : accepting_; };
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->instance(claimant()).isHolder(); }, longWait));
        simulation_->advance(Milliseconds(500));
        CPPUNIT_ASSERT(simulation_->submitAndWait(claimant(), CellSimulation::job(job_.value()))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(isCompleted(longWait));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), simulation_->overlaps());
    }

    /// Guards against a second run of a job whose instance was paused before it told the holder.
    void job_announcedAfterItsResultHasExpired_isNotAddedAgain()
    {
        std::optional<PeerJobAccepted> announced;
        simulation_->peerDelivery = [&](const InstanceId &, const PeerMessage &message) {
            const auto *accepted = std::get_if<PeerJobAccepted>(&message);
            if (!accepted)
                return Delivery::Delivered;
            announced = *accepted;
            return Delivery::Lost;
        };
        CPPUNIT_ASSERT(simulation_->submitAndWait(accepting_, CellSimulation::job(job_.value()))
                       == CallerOutcome::Accepted);
        CPPUNIT_ASSERT(isCompleted(longWait));
        simulation_->advance(CellSettings().resultLifetime * 2);
        CPPUNIT_ASSERT(announced && !isCompleted(Milliseconds()));
        simulation_->instance(former_).handle(
                simulation_->now(), WallTime(simulation_->now().sinceStart().count()),
                PeerFrame {ProcessId {idOf(accepting_), 1}, {}, *announced});
        simulation_->advance(Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(job_));
    }

private:
    using Delivery = CellSimulation::Delivery;

    /// The former holder is cut off from the store, and the accepting instance from the records of
    /// holders, so that a job which is stored after the next holder's claim reaches the former one.
    /// The next holder's calls reach the workers late, and its watch of jobs nothing.
    void startUnderTheFormerHolder()
    {
        simulation_->storeDelivery = [this](const InstanceId &from, const StoreRequest &request) {
            if (from == idOf(former_))
                return isFormerCutOff_ ? Delivery::Lost : Delivery::Delivered;
            if (from == idOf(accepting_) && reads(request, RecordType::Holder))
                return Delivery::Dropped;
            if (from != idOf(next_) || !reads(request, RecordType::JobsAndCancels))
                return Delivery::Delivered;
            if (std::holds_alternative<StoreWatch>(request))
                return areJobsWatched_ ? Delivery::Delivered : Delivery::Refused;
            return areJobsListed_ ? Delivery::Delivered : Delivery::Lost;
        };
        simulation_->peerDelivery = [this](const InstanceId &from, const PeerMessage &) {
            return from == idOf(next_) ? Delivery::Lost : Delivery::Delivered;
        };
        simulation_->workerDelivery = [this](const InstanceId &from, const WorkerRequest &request) {
            if (from == idOf(former_) && !isFormerCutOff_)
                formerToken_ = request.token;
            return Delivery::Delivered;
        };
        simulation_->workerDelay = [this](const WorkerRequest &request) {
            return formerToken_ < request.token ? callDelay : Milliseconds();
        };
        // Until the watch of holders has ended that the accepting instance has in flight.
        simulation_->advance(Milliseconds(5000));
        isFormerCutOff_ = true;
        CPPUNIT_ASSERT(simulation_->advanceUntil(
                [&] { return simulation_->instance(next_).isHolder(); }, longWait));
        simulation_->advance(Milliseconds(50));
        simulation_->submit(accepting_, CellSimulation::job(job_.value()));
        CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->startsOf(job_) == 1; },
                                                 Milliseconds(100)));
    }

    static InstanceId idOf(std::size_t index)
    {
        return InstanceId("entry-" + std::to_string(index));
    }

    static bool reads(const StoreRequest &request, RecordType type)
    {
        const auto *list = std::get_if<StoreList>(&request);
        const auto *watch = std::get_if<StoreWatch>(&request);
        return (list && list->type == type) || (watch && watch->type == type);
    }

    bool isCompleted(Milliseconds limit)
    {
        return simulation_->advanceUntil(
                [&] {
                    return simulation_->store().find({RecordType::Results, job_.value()})
                            != nullptr;
                },
                limit);
    }

    std::size_t unacknowledgedCompletions()
    {
        std::size_t completions = 0;
        for (std::size_t i = 0; i < 2; ++i)
            completions += simulation_->worker(i).unacknowledged();
        return completions;
    }

    static constexpr Milliseconds longWait {20'000};
    static constexpr Milliseconds callDelay {500};
    const JobId job_ {"a"};
    std::unique_ptr<CellSimulation> simulation_;
    std::size_t former_ = 0;
    std::size_t accepting_ = 0;
    std::size_t next_ = 0;
    FencingToken formerToken_;
    Milliseconds duration_ {200};
    bool isFormerCutOff_ = false;
    bool areJobsListed_ = true;
    bool areJobsWatched_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnknownJobTest);

} // namespace caraway::tests
