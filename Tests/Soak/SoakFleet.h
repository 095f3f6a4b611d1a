#pragma once

#include "Soak/SoakWorker.h"
#include "Support/ChildProcess.h"

#include <filesystem>
#include <memory>

namespace caraway::tests {

struct SoakFleetOptions
{
    int instances = 3;
    int workers = 8;
    /// Whether there are queues of several priorities, one of them with approvals.
    bool hasSeveralQueues = false;
    /// Whether a part of the steps may run on one worker only.
    bool hasNarrowSteps = false;
    /// How long the policy service takes for a request.
    Milliseconds approvalTime {40};
    /// Whether workers list ends in any order, and some of them late.
    bool areEndsUnordered = false;
    std::uint64_t seed = 1;
    /// The limits of an entry instance.
    int memoryMegabytes = 260;
    int descriptors = 4100;
    /// Settings, logs and the journal.
    std::filesystem::path folder;
    /// The program of the entry instances and the template of its settings.
    std::string program = CARAWAYMOUNT_PATH;
    std::string settingsTemplate = SOAK_TEMPLATE_PATH;
};

/// A process of an entry instance.
class SoakInstance
{
public:
    SoakInstance(InstanceId id, int storePort, const SoakFleetOptions &options);

    const InstanceId &id() const { return id_; }
    /// The id of the first machine in this place, by which clients and troubles know it.
    const InstanceId &place() const { return place_; }
    int callersPort() const { return callersPort_; }
    int readinessPort() const { return readinessPort_; }
    int metricsPort() const { return metricsPort_; }
    pid_t pid() const { return process_->pid(); }
    std::string logFile() const { return (folder_ / (id_.value() + ".log")).string(); }
    /// Must be called on a thread that outlives the process: it is killed when that thread ends.
    void start();
    void kill();
    void signal(int number);
    /// Another machine takes the place of the instance, which has ended; callers reach it at the
    /// same port.
    void replace(InstanceId id);
    bool isRunning() { return process_ && process_->isRunning(); }
    bool isReady() const;
    struct Term
    {
        std::uint64_t generation = 0;
        std::int64_t token = 0;

        friend auto operator<=>(const Term &, const Term &) = default;
    };
    /// The term that the log shows as not ended.
    std::optional<Term> openTerm();

private:
    void writeSettings() const;
    std::string settingsFile() const { return (folder_ / (id_.value() + ".toml")).string(); }

    InstanceId id_;
    InstanceId place_;
    std::filesystem::path folder_;
    std::string program_;
    std::string settingsTemplate_;
    int storePort_;
    int callersPort_;
    int readinessPort_;
    int metricsPort_;
    int memoryMegabytes_;
    int descriptors_;
    std::unique_ptr<ChildProcess> process_;
    std::ifstream log_;
    std::optional<Term> openTerm_;
};

/// Entry processes with the stand-ins of the store and of the workers.
class SoakFleet
{
public:
    SoakFleet(const SoakFleetOptions &options, SoakJournal &journal);

    void startWorkers();
    void startInstances();
    /// Waits until all instances are ready; throws on a timeout.
    void awaitInstances();

    SoakStore &store() { return store_; }
    std::vector<std::unique_ptr<SoakWorker>> &workers() { return workers_; }
    std::vector<std::unique_ptr<SoakInstance>> &instances() { return instances_; }

private:
    static nlohmann::json queue(const std::string &name, int priority);

    SoakFleetOptions options_;
    SoakJournal &journal_;
    SoakAdvice advice_;
    SoakWork work_;
    SoakStore store_;
    std::vector<std::unique_ptr<SoakWorker>> workers_;
    std::vector<std::unique_ptr<SoakInstance>> instances_;
};

} // namespace caraway::tests
