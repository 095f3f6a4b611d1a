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
    std::uint64_t seed = 1;
    /// Settings, logs and the journal.
    std::filesystem::path folder;
};

/// A process of an entry instance.
class SoakInstance
{
public:
    SoakInstance(InstanceId id, int storePort, std::filesystem::path folder);

    const InstanceId &id() const { return id_; }
    int callersPort() const { return callersPort_; }
    std::string logFile() const { return (folder_ / (id_.value() + ".log")).string(); }
    /// Must be called on a thread that outlives the process: it is killed when that thread ends.
    void start();
    void kill();
    void signal(int number);
    bool isRunning() { return process_ && process_->isRunning(); }
    bool isReady() const;
    /// The generation of the term that the log shows as not ended.
    std::optional<std::uint64_t> openTerm();

private:
    void writeSettings(int storePort) const;
    std::string settingsFile() const { return (folder_ / (id_.value() + ".toml")).string(); }

    InstanceId id_;
    std::filesystem::path folder_;
    int callersPort_;
    int readinessPort_;
    std::unique_ptr<ChildProcess> process_;
    std::ifstream log_;
    std::optional<std::uint64_t> openTerm_;
};

/// Entry processes with the stand-ins of the store and of the workers.
class SoakFleet
{
public:
    SoakFleet(const SoakFleetOptions &options, SoakJournal &journal);

    /// Starts the instances and waits until all are ready; throws on a timeout.
    void start();

    SoakStore &store() { return store_; }
    std::vector<std::unique_ptr<SoakWorker>> &workers() { return workers_; }
    std::vector<std::unique_ptr<SoakInstance>> &instances() { return instances_; }

private:
    SoakStore store_;
    std::vector<std::unique_ptr<SoakWorker>> workers_;
    std::vector<std::unique_ptr<SoakInstance>> instances_;
};

} // namespace caraway::tests
