#pragma once

#include "Support/CallerLog.h"
#include "Support/TestFleet.h"

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace caraway::tests {

/// Checks what must always hold, from the records of the stand-ins and from what callers were
/// told; never from the product's own word on itself.
class FleetAudit
{
public:
    FleetAudit(TestFleet &fleet, const CallerLog &callers);
    ~FleetAudit();
    FleetAudit(const FleetAudit &) = delete;
    FleetAudit &operator=(const FleetAudit &) = delete;

    /// From now on the list shows the worker as leaving, until it is noted as live.
    void noteLeaving(int worker) { leaving_[fleet_.workerName(worker)] = {wallMs(), 0}; }
    void noteLive(int worker) { leaving_[fleet_.workerName(worker)].second = wallMs(); }

    /// Everything that was found wrong; to be asked once the fleet is at rest.
    std::vector<std::string> findings() const;
    /// The findings, one a line; "" for none.
    std::string report() const;
    /// The highest revision of a preset in force that \a entry has shown.
    std::int64_t revisionShownBy(int entry) const;

private:
    void watchPresets();
    void checkAnswers(std::vector<std::string> &found) const;
    void checkEnds(std::vector<std::string> &found) const;
    void checkStarts(std::vector<std::string> &found) const;
    void checkLeaving(std::vector<std::string> &found) const;
    void checkConnections(std::vector<std::string> &found) const;
    void checkStoreHistory(std::vector<std::string> &found) const;

    TestFleet &fleet_;
    const CallerLog &callers_;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> leaving_;
    mutable std::mutex mutex_;
    std::map<int, std::int64_t> revisions_;
    std::vector<std::string> presetFindings_;
    std::jthread watcher_;
};

} // namespace caraway::tests
