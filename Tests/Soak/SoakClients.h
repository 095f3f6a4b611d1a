#pragma once

#include "Soak/SoakJournal.h"
#include "Soak/SoakWork.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <random>
#include <thread>

namespace httplib {
class Client;
}

namespace caraway::tests {

/// The port on which clients reach an instance.
struct SoakFront
{
    InstanceId instance;
    int port = 0;
};

/// What clients hand in.
struct SoakLoad
{
    std::size_t clients = 6;
    /// Jobs of several queues, with gangs, failing runs and tasks of several sizes.
    bool isMixed = false;
    /// Besides, narrow steps with more tasks than all workers could run at once.
    bool hasNarrowSteps = false;
    /// A quarter of the jobs has runs that are longer than the lease of their worker.
    bool hasLongRuns = false;
};

/// Clients that hand jobs in, repeat POSTs, cancel jobs and ask for their states, each on
/// connections that it keeps open.
class SoakClients
{
public:
    static constexpr const char *host = "queue.example";
    /// Runs of a task or gang that may fail before its job does.
    static constexpr std::int64_t maxAttempts = 4;

    SoakClients(std::vector<SoakFront> fronts, SoakJournal &journal, std::uint64_t seed,
                const SoakLoad &load);
    ~SoakClients();

    void start();
    /// Ends the clients; returns when their last requests have been answered.
    void stop();
    /// Asks every instance for every job that is accepted and not cancelled, until it is shown as
    /// finished or \a timeout has passed. Returns what is shown otherwise in the end.
    std::vector<SoakAnswer> askUntilFinished(Milliseconds timeout);
    std::vector<SoakJob> jobs() const;
    /// How long \a cores need for the accepted jobs, if nothing of them has run yet.
    Milliseconds remainingTime(std::int64_t cores) const;

private:
    using Connections = std::vector<std::unique_ptr<httplib::Client>>;

    void runClient(std::uint64_t seed);
    Connections connect() const;
    SoakAnswer call(Connections &connections, std::size_t front, const std::string &method,
                    const SoakJob &job);
    void submit(Connections &connections, std::mt19937_64 &random);
    void repeat(Connections &connections, std::mt19937_64 &random);
    void cancel(Connections &connections, std::mt19937_64 &random);
    void ask(Connections &connections, std::mt19937_64 &random);
    SoakJob makeJob(std::mt19937_64 &random) const;
    JobName nextName() const;
    /// Gives the job runs that are longer than a lease, and one step with few tasks.
    static void lengthen(std::mt19937_64 &random, SoakJobPlan &plan,
                         std::vector<std::int64_t> &counts);
    /// If the job's step is narrow, widens it to more tasks than all workers could run at once.
    static void widen(const SoakJob &job, SoakJobPlan &plan, std::vector<std::int64_t> &counts);
    static SoakJobPlan planPlain(std::mt19937_64 &random, std::vector<std::int64_t> &counts);
    static SoakJobPlan planMixed(std::mt19937_64 &random, std::vector<std::int64_t> &counts,
                                 std::string &queue);
    void noteAttempt(std::size_t index, const SoakAnswer &answer);
    std::optional<std::size_t> pickRecent(std::mt19937_64 &random) const;
    SoakJob jobAt(std::size_t index) const;

    std::vector<SoakFront> fronts_;
    SoakJournal &journal_;
    std::uint64_t seed_;
    SoakLoad load_;
    std::uint64_t namePrefix_;
    std::atomic<bool> isStopping_ = false;
    std::vector<std::thread> threads_;
    mutable std::mutex mutex_;
    std::vector<SoakJob> jobs_;
};

} // namespace caraway::tests
