#pragma once

#include "Cell/CellSimulation.h"

#include <cppunit/TestFixture.h>

namespace caraway::tests {

/// A cell of entry instances and workers, with steps that several fixtures need.
class CellFixture : public CppUnit::TestFixture
{
protected:
    static constexpr std::size_t instances = 3;

    void startCell(std::size_t workers);
    void awaitHolder();
    /// Kills the holder, and starts it again when another instance has taken over.
    void replaceHolder();
    void submit(const cell::JobSpec &job);
    std::set<std::size_t> workersWithRuns() const;
    bool isCompleted(const cell::JobId &job) const;
    /// Occurrences in the logs of all instances.
    std::size_t logged(const std::string &text) const;
    /// The crashes of workers that holders have counted under runs.
    std::size_t countedCrashes() const { return logged("event=worker_crashed_under_run"); }

    std::unique_ptr<CellSimulation> simulation_;

private:
    /// How long a cell may take to have a holder.
    static constexpr Milliseconds holderLimit {30'000};

    std::size_t workers_ = 0;
};

} // namespace caraway::tests
