#include "Support/FaultPlan.h"

#include <csignal>

namespace caraway::tests {

namespace {

constexpr int slowStoreMs = 300;
constexpr int stopLimitMs = 15'000;
const nlohmann::json noFaults = {{"cut", false},
                                 {"hold_forward", false},
                                 {"hold_back", false},
                                 {"lose_answers", 0},
                                 {"delay_ms", 0}};

} // namespace

Fault FaultPlan::linkFault(const std::string &what, const std::string &link,
                           const nlohmann::json &faults)
{
    return {what + " " + link, link, [this, link, faults] { fleet_.setFaults(link, faults); },
            [this, link] { fleet_.setFaults(link, noFaults); }};
}

Fault FaultPlan::entryKilled(int entry)
{
    return {"kill " + fleet_.entryName(entry), fleet_.entryName(entry),
            [this, entry] { fleet_.entry(entry).kill(); },
            [this, entry] { fleet_.startEntry(entry); }};
}

Fault FaultPlan::entryPaused(int entry)
{
    return {"pause " + fleet_.entryName(entry), fleet_.entryName(entry),
            [this, entry] { fleet_.entry(entry).signal(SIGSTOP); },
            [this, entry] { fleet_.entry(entry).signal(SIGCONT); }};
}

Fault FaultPlan::entryStopped(int entry)
{
    return {"stop " + fleet_.entryName(entry), fleet_.entryName(entry),
            [this, entry] { fleet_.entry(entry).signal(SIGTERM); },
            [this, entry] {
                fleet_.entry(entry).waitForExit(stopLimitMs);
                fleet_.startEntry(entry);
            }};
}

Fault FaultPlan::peerCut(int from, int to)
{
    return linkFault("cut", fleet_.peerLink(from, to), {{"cut", true}});
}

Fault FaultPlan::peerOneWay(int from, int to)
{
    return linkFault("one way", fleet_.peerLink(from, to), {{"hold_forward", true}});
}

Fault FaultPlan::storeSilentFor(int entry)
{
    return linkFault("silent", "store-" + fleet_.entryName(entry),
                     {{"hold_forward", true}, {"hold_back", true}});
}

Fault FaultPlan::storeCutFor(int entry)
{
    return linkFault("cut", "store-" + fleet_.entryName(entry), {{"cut", true}});
}

Fault FaultPlan::storeDown()
{
    return {"store down", "store",
            [this] {
                fleet_.controlStore({{"outage", true}});
            },
            [this] {
                fleet_.controlStore({{"outage", false}});
            }};
}

Fault FaultPlan::storeSlow()
{
    return {"store slow", "store",
            [this] {
                fleet_.controlStore({{"delay_ms", slowStoreMs}});
            },
            [this] {
                fleet_.controlStore({{"delay_ms", 0}});
            }};
}

Fault FaultPlan::storeAnswersLost()
{
    return {"store answers lost", "store",
            [this] {
                fleet_.controlStore({{"lose_answers", 5}});
            },
            [this] {
                fleet_.controlStore({{"lose_answers", 0}});
            }};
}

Fault FaultPlan::workerKilled(int worker)
{
    return {"kill " + fleet_.workerName(worker), fleet_.workerName(worker),
            [this, worker] { fleet_.killWorker(worker); },
            [this, worker] { fleet_.startWorker(worker); }};
}

Fault FaultPlan::workerPaused(int worker)
{
    return {"pause " + fleet_.workerName(worker), fleet_.workerName(worker),
            [this, worker] { fleet_.worker(worker).signal(SIGSTOP); },
            [this, worker] { fleet_.worker(worker).signal(SIGCONT); }};
}

Fault FaultPlan::workerCut(int worker)
{
    return linkFault("cut", "worker-" + fleet_.workerName(worker), {{"cut", true}});
}

Fault FaultPlan::workerSilent(int worker)
{
    return linkFault("silent", "worker-" + fleet_.workerName(worker), {{"hold_back", true}});
}

Fault FaultPlan::workerAnswersLost(int worker)
{
    return linkFault("answers lost", "worker-" + fleet_.workerName(worker), {{"lose_answers", 5}});
}

Fault FaultPlan::workerFailsEverything(int worker)
{
    return {"fails everything " + fleet_.workerName(worker), fleet_.workerName(worker),
            [this, worker] {
                fleet_.controlWorker(worker, {{"fail_everything", true}});
            },
            [this, worker] {
                fleet_.controlWorker(worker, {{"fail_everything", false}});
            }};
}

Fault FaultPlan::reportsDisordered(int worker)
{
    return {"reports disordered " + fleet_.workerName(worker), fleet_.workerName(worker),
            [this, worker] {
                fleet_.controlWorker(
                        worker,
                        {{"lose_reports", 3}, {"report_copies", 3}, {"report_delay_ms", 1500}});
            },
            [this, worker] {
                fleet_.controlWorker(
                        worker,
                        {{"lose_reports", 0}, {"report_copies", 1}, {"report_delay_ms", 0}});
            }};
}

Fault FaultPlan::workerLeaving(int worker)
{
    return {"leaving " + fleet_.workerName(worker), fleet_.workerName(worker),
            [this, worker] {
                fleet_.setWorkerState(worker, "leaving");
                audit_.noteLeaving(worker);
            },
            [this, worker] {
                audit_.noteLive(worker);
                fleet_.setWorkerState(worker, "live");
            }};
}

Fault FaultPlan::draw(std::mt19937_64 &random)
{
    const auto below = [&](int count) { return static_cast<int>(random() % count); };
    const int entry = below(fleet_.shape().entries);
    const int other = (entry + 1 + below(fleet_.shape().entries - 1)) % fleet_.shape().entries;
    const int worker = below(fleet_.workerCount());
    const std::vector<std::function<Fault()>> kinds = {
            [&] { return entryKilled(entry); },
            [&] { return entryPaused(entry); },
            [&] { return entryStopped(entry); },
            [&] { return peerCut(entry, other); },
            [&] { return peerOneWay(entry, other); },
            [&] { return storeSilentFor(entry); },
            [&] { return storeCutFor(entry); },
            [&] { return storeDown(); },
            [&] { return storeSlow(); },
            [&] { return storeAnswersLost(); },
            [&] { return workerKilled(worker); },
            [&] { return workerPaused(worker); },
            [&] { return workerCut(worker); },
            [&] { return workerSilent(worker); },
            [&] { return workerAnswersLost(worker); },
            [&] { return workerFailsEverything(worker); },
            [&] { return reportsDisordered(worker); },
            [&] { return workerLeaving(worker); },
    };
    return kinds[random() % kinds.size()]();
}

} // namespace caraway::tests
