#pragma once

// A small deployment of entry processes on loopback addresses: the platform's
// store and policy service, workers, and a client.

#include "store.h"

#include <sys/types.h>

#include <cstdint>
#include <fstream>

namespace review {

/// What was sent, answered and run; written to record.txt.
class Record
{
public:
    explicit Record(const std::string &file);
    void write(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startedAt_ = nowMs();
};

/// What a task does; the text of a job's spec: "work=MS cpu=MILLICORES
/// members=N lasts=1 fails=N".
struct Plan
{
    std::int64_t work = 1000;
    std::int64_t cpu = 1000;
    std::int64_t members = 0;
    bool lasts = false;
    /// The first runs of each task that end as failed.
    std::int64_t fails = 0;

    static Plan parse(const std::string &spec);
};

/// One run of a task.
struct Run
{
    std::string task;
    std::uint64_t number = 0;
    std::string worker;
    std::int64_t cpu = 0;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0;
    std::string how;
    /// When its end was acknowledged, unless the lease lapsed between the two.
    std::int64_t notedAt = 0;

    bool isOpen() const { return endedAt == 0; }
    std::string job() const { return task.substr(0, task.find('.')); }
};

/// All runs of all workers, and the members of gangs that are present.
class Journal
{
public:
    explicit Journal(Record &record)
        : record_(record)
    {
    }
    std::size_t begin(Run run);
    void end(std::size_t run, const std::string &how);
    void note(std::size_t run);
    std::vector<Run> runs() const;
    std::int64_t startsOf(const std::string &task) const;
    std::vector<Run> runsOf(const std::string &job) const;
    Record &record() { return record_; }

    /// Adds a present member; the gang works from the moment when all are
    /// present.
    void join(const std::string &gang, std::int64_t members);
    void leave(const std::string &gang, const std::string &how);
    std::int64_t worksSince(const std::string &gang) const;
    /// How a member has ended that ends the others: "done" or "broken"; empty
    /// while none has.
    std::string endOf(const std::string &gang) const;

private:
    struct Gang
    {
        std::int64_t present = 0;
        std::int64_t since = 0;
        std::string end;
    };

    Record &record_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
    std::map<std::string, Gang> gangs_;
};

struct Bounds
{
    std::int64_t maxHoldMs = 6000;
    std::int64_t stopMs = 400;
    std::int64_t gangTimeoutMs = 3000;
    std::int64_t heartbeatMs = 1500;
};

struct WorkerKind
{
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 262'144;
    std::int64_t gpus = 0;
    std::vector<std::string> labels;
    std::string service = "work";
};

/// A worker as PROTOCOL.md describes it. It doesn't guard its capacity.
class Worker
{
public:
    Worker(Store &store, Journal &journal, std::string id, WorkerKind kind);
    ~Worker();

    const std::string &id() const { return id_; }
    /// The process ends; connections are reset.
    void crash();
    void restart();
    bool isUp() const;
    std::int64_t cpu() const { return kind_.cpu; }
    const WorkerKind &kind() const { return kind_; }
    /// Starts of tasks of this job get no answer, and would be carried out 3 s later.
    void holdUpStartsOf(const std::string &job);
    /// How many starts the worker has held up in all its lives.
    int heldUpStarts() const;

private:
    struct Active
    {
        std::size_t run = 0;
        Plan plan;
        std::string gang;
        std::int64_t startedAt = 0;
        std::int64_t stopsAt = 0;
        bool fails = false;
    };
    struct End
    {
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t index = 0;
        bool hasLapsed = false;
    };
    using Key = std::pair<std::string, std::uint64_t>;

    std::int64_t clock() const { return nowMs() - bornAt_; }
    void begin();
    void loop();
    void endDue();
    HttpResponse handle(const HttpRequest &request);
    HttpResponse start(const Json &body, std::unique_lock<std::mutex> &lock);
    HttpResponse stop(const Json &body);
    HttpResponse hold(const Json &body, std::unique_lock<std::mutex> &lock);
    void extendLease(const Json &body);

    Store &store_;
    Journal &journal_;
    std::string id_;
    WorkerKind kind_;
    Bounds bounds_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isClosing_ = false;
    bool isUp_ = false;
    std::int64_t life_ = 0;
    std::int64_t born_ = 0;
    std::int64_t bornAt_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t leaseEnd_ = 0;
    std::int64_t nextBeat_ = 0;
    std::int64_t sequence_ = 0;
    std::map<Key, Active> running_;
    std::map<std::int64_t, End> ends_;
    std::int64_t lastEnd_ = 0;
    std::map<std::string, std::uint64_t> highest_;
    std::string heldUpJob_;
    int heldUpStarts_ = 0;
    HttpServer server_;
    std::thread loop_;
};

/// A process started for a case; the destructor ends it. It also ends with the
/// program.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Sends SIGKILL and waits for the end.
    void kill();

private:
    pid_t pid_ = -1;
};

struct Answer
{
    /// 0: no answer.
    int status = 0;
    std::string body;
    std::string state;
};

/// The deployment: entry processes started as the deploy file says, store,
/// workers, client.
class Fleet
{
public:
    Fleet(Record &record, int instances, const Json &routes);
    ~Fleet();

    void addWorker(const std::string &id, const WorkerKind &kind);
    void startInstances();
    /// Waits until all instances are ready; false when they are not in time.
    bool awaitReady(std::int64_t timeout);
    void setAdvice(HttpServer::Handler advice);

    Answer call(std::size_t instance, const std::string &method, const std::string &path,
                const std::string &body = {});
    /// Submits until accepted, as clients do.
    bool submit(const std::string &queue, const std::string &id, const Json &job);
    Answer ask(std::size_t instance, const std::string &queue, const std::string &id);

    Journal &journal() { return journal_; }
    Record &record() { return record_; }
    Store &store() { return store_; }
    std::vector<std::unique_ptr<Worker>> &workers() { return workers_; }
    Process &instance(std::size_t i) { return *instances_.at(i).process; }
    std::size_t instances() const { return instances_.size(); }
    void restartInstance(std::size_t i);

    /// Millicores of open runs, and of workers that are up.
    std::int64_t used() const;
    std::int64_t usedOn(const std::string &worker) const;
    std::int64_t capacity() const;

private:
    struct Instance
    {
        std::string settings;
        std::string log;
        int front = 0;
        int ready = 0;
        std::unique_ptr<Process> process;
    };

    Record &record_;
    Journal journal_;
    Store store_;
    std::string folder_;
    std::vector<Instance> instances_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

Json route(const std::string &name, int priority, double stretch, std::int64_t targetMs,
           std::int64_t maxAttempts);

} // namespace review
