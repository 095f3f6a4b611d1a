#pragma once

#include "Support/TestFleet.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace caraway::tests {

/// One job that a test submits.
struct PlannedJob
{
    std::string name;
    int tasks = 1;
    bool gang = false;
    bool idempotent = true;
    bool detached = false;
    int runMs = 50;
    /// Cancelled this long after it was submitted; 0 for never.
    int cancelAfterMs = 0;

    /// What each of its tasks answers: long, and made from the name.
    std::string expectedContent() const;
    nlohmann::json toJson() const;
};

/// One answer that a caller got.
struct ToldCaller
{
    PlannedJob job;
    /// The job's state as told; "refused" when the request was turned away, "" when no answer
    /// came or it told nothing.
    std::string state;
    HttpAnswer answer;
    std::int64_t atMs = 0;
};

/// Whether nothing more can come after this state.
bool isFinal(const std::string &state);

/// Milliseconds of the clock that the workers' records use.
std::int64_t wallMs();

/// A caller's side: it submits jobs, asks on until the end, and keeps all that it was told.
class CallerLog
{
public:
    explicit CallerLog(TestFleet &fleet)
        : fleet_(fleet)
    {
    }

    /// Submits \a job through \a entry; where no final answer comes it asks again through the
    /// other entries, for at most \a limitMs. Safe on several threads. Returns the last state.
    std::string runToTheEnd(int entry, const PlannedJob &job, int limitMs);
    /// Submits once; returns the state.
    std::string submit(int entry, const PlannedJob &job, int waitMs);
    std::string ask(int entry, const PlannedJob &job, int waitMs);
    void cancel(int entry, const PlannedJob &job);

    std::vector<ToldCaller> told() const;
    /// How many jobs were submitted, whatever came of them.
    std::size_t jobCount() const;

private:
    std::string note(const PlannedJob &job, HttpAnswer answer);

    TestFleet &fleet_;
    mutable std::mutex mutex_;
    std::vector<ToldCaller> told_;
};

} // namespace caraway::tests
