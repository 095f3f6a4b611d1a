#pragma once

#include "Soak/SoakTypes.h"

#include <deque>
#include <fstream>
#include <mutex>

namespace caraway::tests {

/// What workers, clients and troubles saw, for the audit; also written to a file. Thread-safe.
class SoakJournal
{
public:
    explicit SoakJournal(const std::string &file);

    /// Writes a line with the time since the start in ms.
    void write(const std::string &line);

    /// Runs are named by the index that addRun() returns.
    std::size_t addRun(SoakRun run);
    /// \a number: that of the end in the worker's list; 0 when the worker crashed.
    void endRun(std::size_t run, const std::string &how, std::int64_t number = 0);
    /// A reply lists the end of \a run; only the first one is noted.
    void listEnd(std::size_t run);
    /// The end of \a run was acknowledged by the holder with \a token; \a hasLapsed: the worker's
    /// lease lapsed before that.
    void noteEnd(std::size_t run, bool hasLapsed, std::int64_t token);
    /// The process of a worker has ended.
    void addWorkerCrash(const WorkerId &worker);
    void addAnswer(SoakAnswer answer);
    void addDisturbance(const std::string &target, Milliseconds from, Milliseconds to);

    std::vector<SoakRun> runs() const;
    std::size_t workerCrashes() const;
    std::vector<SoakAnswer> answers() const;
    std::vector<SoakDisturbance> disturbances() const;

private:
    void writeLocked(const std::string &line);

    mutable std::mutex mutex_;
    std::ofstream file_;
    std::deque<SoakRun> runs_;
    std::size_t workerCrashes_ = 0;
    std::vector<SoakAnswer> answers_;
    std::vector<SoakDisturbance> disturbances_;
};

} // namespace caraway::tests
