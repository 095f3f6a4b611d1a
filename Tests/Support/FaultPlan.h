#pragma once

#include "Support/FleetAudit.h"
#include "Support/TestFleet.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace caraway::tests {

/// One fault that can be set off and healed again.
struct Fault
{
    std::string name;
    /// What it befalls; two faults at once befall different targets.
    std::string target;
    std::function<void()> set;
    std::function<void()> heal;
};

/// Makes the faults that a fleet can suffer; tests name them, schedules draw them.
class FaultPlan
{
public:
    FaultPlan(TestFleet &fleet, FleetAudit &audit)
        : fleet_(fleet)
        , audit_(audit)
    {
    }

    Fault entryKilled(int entry);
    Fault entryPaused(int entry);
    /// An orderly stop by SIGTERM, then a restart.
    Fault entryStopped(int entry);
    /// No connection from one entry to the other is possible.
    Fault peerCut(int from, int to);
    /// Bytes from \a from to \a to are lost; the way back works.
    Fault peerOneWay(int from, int to);
    /// The entry's open connections to the store go silent; nothing is refused.
    Fault storeSilentFor(int entry);
    Fault storeCutFor(int entry);
    Fault storeDown();
    Fault storeSlow();
    /// Writes take effect, but their answers are lost.
    Fault storeAnswersLost();
    Fault workerKilled(int worker);
    Fault workerPaused(int worker);
    Fault workerCut(int worker);
    Fault workerSilent(int worker);
    Fault workerAnswersLost(int worker);
    Fault workerFailsEverything(int worker);
    Fault reportsDisordered(int worker);
    Fault workerLeaving(int worker);

    /// Draws one fault.
    Fault draw(std::mt19937_64 &random);

private:
    Fault linkFault(const std::string &what, const std::string &link, const nlohmann::json &faults);

    TestFleet &fleet_;
    FleetAudit &audit_;
};

} // namespace caraway::tests
