#include "Cell/CellFixture.h"

#include <cppunit/TestAssert.h>

namespace caraway::tests {

using namespace cell;

void CellFixture::startCell(std::size_t workers)
{
    workers_ = workers;
    simulation_ = std::make_unique<CellSimulation>(instances, workers);
}

void CellFixture::awaitHolder()
{
    CPPUNIT_ASSERT(simulation_->advanceUntil([&] { return simulation_->holder().has_value(); },
                                             holderLimit));
}

void CellFixture::replaceHolder()
{
    const std::size_t former = *simulation_->holder();
    simulation_->kill(former);
    simulation_->advance(Milliseconds(3000));
    awaitHolder();
    simulation_->restart(former);
}

void CellFixture::submit(const JobSpec &job)
{
    CPPUNIT_ASSERT(simulation_->submitAndWait(0, job) == CallerOutcome::Accepted);
}

std::set<std::size_t> CellFixture::workersWithRuns() const
{
    std::set<std::size_t> found;
    for (std::size_t i = 0; i < workers_; ++i) {
        if (!simulation_->worker(i).running().empty())
            found.insert(i);
    }
    return found;
}

bool CellFixture::isCompleted(const JobId &job) const
{
    return simulation_->stateOf(0, job) == JobState::Completed;
}

std::size_t CellFixture::logged(const std::string &text) const
{
    std::size_t count = 0;
    for (std::size_t at = simulation_->log.find(text); at != std::string::npos;
         at = simulation_->log.find(text, at + 1))
        ++count;
    return count;
}

} // namespace caraway::tests
