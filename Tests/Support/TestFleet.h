#pragma once

#include "Support/ChildProcess.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway::tests {

/// How large a test's fleet is.
struct FleetShape
{
    std::vector<std::string> zones = {"klang-a", "klang-b", "klang-c"};
    int entries = 3;
    int workersPerZone = 2;
    int workersPerRack = 6;
    std::int64_t millicores = 16'000;
    std::int64_t memoryBytes = 64LL << 30;
    int slots = 8;
    int listLagMs = 0;
    /// Lines for the [timing] section of the settings.
    std::string timing;
};

/// An answer over HTTP; status 0 when none came.
struct HttpAnswer
{
    int status = 0;
    nlohmann::json body;
};

/// Real processes on the loopback address: the platform's stand-ins, workers, and entry
/// instances. Every link to the store, to workers and to entries passes the proxy.
class TestFleet
{
public:
    explicit TestFleet(FleetShape shape = {});
    ~TestFleet();

    /// Starts everything, puts the preset in force and waits until every shard serves.
    void start();
    /// The same, but no preset is put in force and nothing is waited for.
    void startWithoutPreset();

    const FleetShape &shape() const { return shape_; }
    std::string entryName(int entry) const;
    std::string workerName(int worker) const;
    ChildProcess &entry(int entry) { return *entries_.at(entry); }
    ChildProcess &worker(int worker) { return *workers_.at(worker); }
    void startEntry(int entry);
    void startWorker(int worker);
    /// Kills a worker and notes in its records that its tasks ended there.
    void killWorker(int worker);
    int workerCount() const;
    /// Whether every entry is ready and every worker takes work.
    bool isServing() const;

    /// Where callers reach \a entry, through the proxy.
    int callerPort(int entry) const { return ports_.at("caller-" + entryName(entry)); }
    HttpAnswer get(int entry, const std::string &path, int limitMs = 25'000) const;
    std::string getText(int entry, const std::string &path) const;
    HttpAnswer post(int entry, const std::string &path, const nlohmann::json &body,
                    int limitMs = 25'000) const;
    HttpAnswer put(int entry, const std::string &path, const nlohmann::json &body) const;
    HttpAnswer postText(int entry, const std::string &path, const std::string &body) const;
    /// Submits a job with the defaults of makeJob() and waits for the result.
    HttpAnswer run(int entry, const nlohmann::json &job, int waitMs = 10'000) const;
    /// A job of one small task; \a changes are merged over it.
    static nlohmann::json makeJob(const std::string &name, const nlohmann::json &changes = {});
    static nlohmann::json makePreset(const std::string &name);
    HttpAnswer cancel(int entry, const std::string &job) const;
    HttpAnswer usePreset(int entry, const std::string &name) const;

    /// The entry that holds \a zone's shard by the store's own record; -1 for none.
    int holderOf(const std::string &zone) const;
    /// The zone whose shard owns the job of that name.
    std::string homeOf(const std::string &job) const;
    void controlStore(const nlohmann::json &orders) const;
    nlohmann::json storeStats() const;
    /// Every write that took effect in the store, in order.
    nlohmann::json storeHistory() const;
    /// What the proxy counted for each link.
    nlohmann::json links() const;
    /// The link that \a from opens to \a to; "peer-entry-1" means all links to entry 1.
    std::string peerLink(int from, int to) const;
    void controlWorker(int worker, const nlohmann::json &orders) const;
    /// Sets the faults of a link: "store-entry-1", "worker-<name>", "peer-entry-1",
    /// "caller-entry-1".
    void setFaults(const std::string &link, const nlohmann::json &faults) const;
    /// Marks a worker as live, leaving, or gone (empty) in the instance list.
    void setWorkerState(int worker, const std::string &state);
    void setEntryState(int entry, const std::string &state);

    /// Every line that the workers recorded, in order of time.
    std::vector<nlohmann::json> records() const;
    /// What the workers' records show to be wrong: over-commitment, or a task in two places.
    std::vector<std::string> violations() const;
    /// How often a task of \a job was started on any worker.
    int startsOf(const std::string &job) const;

    /// Waits until \a condition holds; false after \a limitMs.
    static bool eventually(const std::function<bool()> &condition, int limitMs = 10'000);

private:
    int newPort();
    void openLink(const std::string &name, int listen, int to) const;
    void publishList() const;
    nlohmann::json listSeenBy(int viewer) const;
    static void waitForStandin(int port);
    void writeSettings(int entry) const;
    std::string path(const std::string &file) const { return (directory_ / file).string(); }

    FleetShape shape_;
    std::filesystem::path directory_;
    std::map<std::string, int> ports_;
    std::vector<std::string> entryStates_;
    std::vector<std::string> workerStates_;
    std::unique_ptr<ChildProcess> store_;
    std::vector<std::unique_ptr<ChildProcess>> lists_;
    std::unique_ptr<ChildProcess> proxy_;
    std::vector<std::unique_ptr<ChildProcess>> workers_;
    std::vector<std::unique_ptr<ChildProcess>> entries_;
};

} // namespace caraway::tests
