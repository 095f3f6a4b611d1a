#include "Cell/CellSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

/// Workers that start again under their id, with calls and replies of both incarnations in flight.
class WorkerRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerRestartTest);
    CPPUNIT_TEST(list_ofTheEarlierIncarnation_acknowledgesNothingOfTheNextOne);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against ends of a new incarnation that are acknowledged unread, so that their tasks
    /// run again.
    void list_ofTheEarlierIncarnation_acknowledgesNothingOfTheNextOne()
    {
        start(1);
        for (int i = 0; i < 6; ++i)
            complete("earlier" + std::to_string(i));
        submit("cut", Milliseconds(500));
        CPPUNIT_ASSERT(advanceUntil([&] { return hasStarted("cut"); }));
        delayReplies<WorkerHeartbeat>(Milliseconds(800));
        simulation_->advance(Milliseconds(550));
        simulation_->worker(0).resetsConnections = false;
        simulation_->restartWorker(0);
        simulation_->workerReplyDelay = nullptr;
        simulation_->advance(Milliseconds(3000));
        complete("later");
        simulation_->advance(Milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), simulation_->startsOf(JobId("later")));
    }

private:
    static constexpr Milliseconds limit {20'000};

    void start(std::size_t workers)
    {
        simulation_ = std::make_unique<CellSimulation>(3, workers);
        durations_.clear();
        simulation_->plan = [this](const TaskKey &task, RunNumber) {
            return SimulatedWorker::RunPlan {durations_.at(task.job), CompletionReason::Succeeded};
        };
        CPPUNIT_ASSERT(advanceUntil([&] { return simulation_->holder().has_value(); }));
        simulation_->advance(Milliseconds(2000));
    }
    bool advanceUntil(const std::function<bool()> &condition)
    {
        return simulation_->advanceUntil(condition, limit);
    }
    void submit(const std::string &id, Milliseconds duration)
    {
        durations_[JobId(id)] = duration;
        CPPUNIT_ASSERT(simulation_->submitAndWait(0, CellSimulation::job(id))
                       == CallerOutcome::Accepted);
    }
    void complete(const std::string &id)
    {
        submit(id, Milliseconds(100));
        CPPUNIT_ASSERT(advanceUntil(
                [&] { return simulation_->stateOf(0, JobId(id)) == JobState::Completed; }));
    }
    bool hasStarted(const std::string &id) const { return simulation_->startsOf(JobId(id)) > 0; }
    template<class Command>
    void delayReplies(Milliseconds delay)
    {
        simulation_->workerReplyDelay = [delay](const WorkerRequest &request) {
            return std::holds_alternative<Command>(request.command) ? delay : Milliseconds();
        };
    }

    std::unique_ptr<CellSimulation> simulation_;
    std::map<JobId, Milliseconds> durations_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerRestartTest);

} // namespace caraway::tests
