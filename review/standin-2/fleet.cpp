#include "fleet.h"

#include <httplib.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace {

constexpr const char *host = "jobs.example";
constexpr const char *program = "target/Source/carawaymount";
constexpr const char *settingsTemplate = "deploy/entry.tmpl";

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

Record::Record(const std::string &file)
    : file_(file)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    file_ << nowMs() - startedAt_ << " " << line << std::endl;
}

Plan Plan::parse(const std::string &spec)
{
    Plan plan;
    std::istringstream words(spec);
    for (std::string word; words >> word;) {
        const std::size_t equals = word.find('=');
        const std::string name = word.substr(0, equals);
        const std::int64_t value = std::stoll(word.substr(equals + 1));
        if (name == "work")
            plan.work = value;
        else if (name == "cpu")
            plan.cpu = value;
        else if (name == "members")
            plan.members = value;
        else if (name == "lasts")
            plan.lasts = value != 0;
        else if (name == "fails")
            plan.fails = value;
    }
    return plan;
}

std::size_t Journal::begin(Run run)
{
    record_.write("run begins: task " + run.task + " run " + std::to_string(run.number) + " on "
                  + run.worker);
    const std::lock_guard lock(mutex_);
    run.startedAt = nowMs();
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void Journal::end(std::size_t index, const std::string &how)
{
    std::string text;
    {
        const std::lock_guard lock(mutex_);
        Run &run = runs_[index];
        run.endedAt = nowMs();
        run.how = how;
        text = "run ends: task " + run.task + " run " + std::to_string(run.number) + " on "
                + run.worker + ": " + how;
    }
    record_.write(text);
}

void Journal::note(std::size_t index)
{
    const std::lock_guard lock(mutex_);
    runs_[index].notedAt = nowMs();
}

std::vector<Run> Journal::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<Run> Journal::runsOf(const std::string &job) const
{
    std::vector<Run> found;
    for (const Run &run : runs()) {
        if (run.job() == job)
            found.push_back(run);
    }
    return found;
}

std::int64_t Journal::startsOf(const std::string &task) const
{
    const std::lock_guard lock(mutex_);
    return std::count_if(runs_.begin(), runs_.end(),
                         [&](const Run &run) { return run.task == task; });
}

void Journal::join(const std::string &gang, std::int64_t members)
{
    const std::lock_guard lock(mutex_);
    Gang &state = gangs_[gang];
    if (++state.present == members)
        state.since = nowMs();
}

void Journal::leave(const std::string &gang, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    Gang &state = gangs_[gang];
    --state.present;
    if (state.end.empty())
        state.end = how == "done" ? "done" : "broken";
}

std::int64_t Journal::worksSince(const std::string &gang) const
{
    const std::lock_guard lock(mutex_);
    const auto found = gangs_.find(gang);
    return found == gangs_.end() ? 0 : found->second.since;
}

std::string Journal::endOf(const std::string &gang) const
{
    const std::lock_guard lock(mutex_);
    const auto found = gangs_.find(gang);
    return found == gangs_.end() ? std::string() : found->second.end;
}

Worker::Worker(Store &store, Journal &journal, std::string id, WorkerKind kind)
    : store_(store)
    , journal_(journal)
    , id_(std::move(id))
    , kind_(std::move(kind))
    , server_([this](const HttpRequest &request) { return handle(request); })
{
    {
        const std::lock_guard lock(mutex_);
        begin();
    }
    loop_ = std::thread([this] { loop(); });
}

Worker::~Worker()
{
    {
        const std::lock_guard lock(mutex_);
        isClosing_ = true;
        changed_.notify_all();
    }
    loop_.join();
}

void Worker::begin()
{
    born_ = std::max(unixMs(), born_ + 1);
    bornAt_ = nowMs();
    ++life_;
    fence_ = leaseEnd_ = sequence_ = lastEnd_ = 0;
    nextBeat_ = nowMs();
    running_.clear();
    ends_.clear();
    highest_.clear();
    isUp_ = true;
}

bool Worker::isUp() const
{
    const std::lock_guard lock(mutex_);
    return isUp_;
}

void Worker::crash()
{
    journal_.record().write("worker " + id_ + " crashes");
    {
        const std::lock_guard lock(mutex_);
        isUp_ = false;
        for (const auto &[key, active] : running_) {
            journal_.end(active.run, "crash");
            if (!active.gang.empty())
                journal_.leave(active.gang, "crash");
        }
        running_.clear();
        ends_.clear();
        changed_.notify_all();
    }
    server_.crash();
}

void Worker::restart()
{
    server_.restart();
    const std::lock_guard lock(mutex_);
    begin();
    journal_.record().write("worker " + id_ + " starts again");
    changed_.notify_all();
}

void Worker::loop()
{
    std::unique_lock lock(mutex_);
    while (!isClosing_) {
        if (isUp_) {
            endDue();
            if (nowMs() >= nextBeat_) {
                const Json entry {
                        {"service", kind_.service},
                        {"address", loopback(server_.port())},
                        {"zone", "zone-a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"coldRemainingMs", 0},
                        {"capacity",
                         {{"cpu", kind_.cpu}, {"memMb", kind_.memMb}, {"gpus", kind_.gpus}}},
                        {"labels", kind_.labels},
                        {"clockMs", clock()},
                        {"born", born_},
                        {"sequence", ++sequence_}};
                store_.beat("servers/" + id_, entry, 3 * bounds_.heartbeatMs);
                nextBeat_ = nowMs() + bounds_.heartbeatMs;
            }
        }
        changed_.wait_for(lock, std::chrono::milliseconds(10));
    }
}

void Worker::endDue()
{
    const std::int64_t now = nowMs();
    const bool hasLapsed = clock() > leaseEnd_;
    for (auto &[number, end] : ends_)
        end.hasLapsed = end.hasLapsed || hasLapsed;
    for (auto row = running_.begin(); row != running_.end();) {
        const Active &active = row->second;
        const bool isGang = !active.gang.empty();
        const std::int64_t since = isGang ? journal_.worksSince(active.gang) : active.startedAt;
        const std::string gangEnd = isGang ? journal_.endOf(active.gang) : std::string();
        std::string how;
        if (active.stopsAt > 0 && now >= active.stopsAt)
            how = "stopped";
        else if (!gangEnd.empty())
            how = gangEnd;
        else if (hasLapsed)
            how = "lapsed";
        else if (isGang && since == 0 && now - active.startedAt >= bounds_.gangTimeoutMs)
            how = "alone";
        else if (!active.plan.lasts && since > 0 && now - since >= active.plan.work)
            how = active.fails ? "failed" : "done";
        if (how.empty()) {
            ++row;
            continue;
        }
        journal_.end(active.run, how);
        if (isGang)
            journal_.leave(active.gang, how);
        ends_[++lastEnd_] = {row->first.first, row->first.second, how, active.run, hasLapsed};
        std::uint64_t &highest = highest_[row->first.first];
        highest = std::max(highest, row->first.second);
        row = running_.erase(row);
        changed_.notify_all();
    }
}

void Worker::extendLease(const Json &body)
{
    const std::int64_t deadline = body.value("deadlineMs", std::int64_t(0));
    leaseEnd_ = std::max(leaseEnd_, std::min(deadline, clock() + bounds_.maxHoldMs));
}

HttpResponse Worker::handle(const HttpRequest &request)
{
    std::unique_lock lock(mutex_);
    if (!isUp_)
        return {0, "", true};
    if (request.expectInstance != id_)
        return {421};
    const Json body = Json::parse(request.body);
    const std::int64_t token = body.value("fencingToken", std::int64_t(0));
    if (token < fence_)
        return {409, Json {{"clockMs", clock()}, {"born", born_}, {"reason", "fence"}}.dump()};
    fence_ = token;
    if (request.path == "/carawaymount/run-start")
        return start(body, lock);
    if (request.path == "/carawaymount/run-stop")
        return stop(body);
    if (request.path == "/carawaymount/hold")
        return hold(body, lock);
    return {404};
}

void Worker::holdUpStartsOf(const std::string &job)
{
    const std::lock_guard lock(mutex_);
    heldUpJob_ = job;
}

int Worker::heldUpStarts() const
{
    const std::lock_guard lock(mutex_);
    return heldUpStarts_;
}

HttpResponse Worker::start(const Json &body, std::unique_lock<std::mutex> &lock)
{
    const std::string task = body.at("task");
    if (!heldUpJob_.empty() && task.starts_with(heldUpJob_)) {
        constexpr std::chrono::seconds delay {3};
        ++heldUpStarts_;
        journal_.record().write("worker " + id_ + " leaves the start of " + task + " unanswered");
        const std::int64_t life = life_;
        changed_.wait_for(lock, delay, [&] { return !isUp_ || life_ != life || isClosing_; });
        if (!isUp_ || life_ != life)
            return {0, "", true};
    }
    const std::uint64_t number = body.at("run");
    const auto refuse = [&](const char *reason) -> HttpResponse {
        return {409, Json {{"clockMs", clock()}, {"born", born_}, {"reason", reason}}.dump()};
    };
    if (clock() > body.at("deadlineMs").get<std::int64_t>())
        return refuse("late");
    extendLease(body);
    if (running_.contains({task, number}))
        return {200, Json {{"clockMs", clock()}}.dump()};
    if (const auto highest = highest_.find(task);
        highest != highest_.end() && number <= highest->second)
        return refuse("old");
    Active active;
    active.plan = Plan::parse(body.at("spec"));
    active.startedAt = nowMs();
    active.fails = journal_.startsOf(task) < active.plan.fails;
    if (active.plan.members > 0)
        active.gang = task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
    Run run;
    run.task = task;
    run.number = number;
    run.worker = id_;
    run.cpu = active.plan.cpu;
    active.run = journal_.begin(run);
    if (!active.gang.empty())
        journal_.join(active.gang, active.plan.members);
    running_.emplace(Key {task, number}, std::move(active));
    return {200, Json {{"clockMs", clock()}}.dump()};
}

HttpResponse Worker::stop(const Json &body)
{
    const std::string task = body.at("task");
    const std::uint64_t number = body.at("run");
    std::uint64_t &highest = highest_[task];
    highest = std::max(highest, number);
    const auto active = running_.find({task, number});
    if (active != running_.end() && active->second.stopsAt == 0)
        active->second.stopsAt = nowMs() + bounds_.stopMs / 2;
    return {200, Json {{"clockMs", clock()}}.dump()};
}

HttpResponse Worker::hold(const Json &body, std::unique_lock<std::mutex> &lock)
{
    const std::int64_t acked = body.value("ackedThrough", std::int64_t(0));
    while (!ends_.empty() && ends_.begin()->first <= acked) {
        if (!ends_.begin()->second.hasLapsed)
            journal_.note(ends_.begin()->second.index);
        ends_.erase(ends_.begin());
    }
    extendLease(body);
    const std::int64_t life = life_;
    const std::int64_t wait = std::min<std::int64_t>(2000, body.value("waitMs", std::int64_t(0)));
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return !ends_.empty() || !isUp_ || life_ != life || isClosing_; });
    if (!isUp_ || life_ != life)
        return {0, "", true};
    Json running = Json::array();
    for (const auto &[key, active] : running_) {
        const std::int64_t percent = active.plan.lasts
                ? 100
                : std::clamp<std::int64_t>((nowMs() - active.startedAt) * 100
                                                   / std::max<std::int64_t>(active.plan.work, 1),
                                           0, 99);
        running.push_back({key.first, key.second, "", percent, active.plan.cpu});
    }
    Json finished = Json::array();
    for (const auto &[number, end] : ends_) {
        if (finished.size() == 500)
            break;
        finished.push_back({number, end.task, end.run, end.how, ""});
    }
    return {200,
            Json {{"clockMs", clock()},
                  {"born", born_},
                  {"running", running},
                  {"finished", finished}}
                    .dump()};
}

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<std::string> words = command;
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr int mode = 0644;
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    constexpr int notStarted = 127;
    ::_exit(notStarted);
}

Process::~Process()
{
    kill();
}

void Process::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

Json route(const std::string &name, int priority, double stretch, std::int64_t targetMs,
           std::int64_t maxAttempts)
{
    return {{"name", name},         {"hostname", host},  {"prefix", "/" + name + "/"},
            {"type", "unsafe"},     {"timeoutMs", 3000}, {"targetDurationMs", targetMs},
            {"priority", priority}, {"service", "work"}, {"maxAttempts", maxAttempts},
            {"stretch", stretch}};
}

Fleet::Fleet(Record &record, int instances, const Json &routes)
    : record_(record)
    , journal_(record)
    , store_(instances)
{
    char folder[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(folder);
    const Json service {{"name", "work"},       {"healthPath", "/health"},
                        {"maxConnections", 64}, {"protocol", "h1"},
                        {"tls", false},         {"rejectsOverload", false},
                        {"standby", false}};
    store_.put("op/config",
               {{"version", 3},
                {"routes", routes},
                {"services", Json::array({service})},
                {"limits", {{"maxBodyBytes", 262'144}}}});
    for (int i = 0; i < instances; ++i) {
        Instance instance;
        const std::string name = "edge-" + std::to_string(i + 1);
        instance.settings = folder_ + "/" + name + ".toml";
        instance.log = folder_ + "/" + name + ".log";
        instance.front = findFreePort();
        instance.ready = findFreePort();
        std::ifstream file(settingsTemplate);
        std::string text {std::istreambuf_iterator<char>(file), {}};
        replaceAll(text, "{{ip}}:9464", loopback(findFreePort()));
        replaceAll(text, "{{ip}}:{{portRange.0}}", loopback(findFreePort()));
        replaceAll(text, "{{node}}", name);
        replaceAll(text, "{{zone}}", "zone-a");
        replaceAll(text, "{{listen.front}}", loopback(instance.front));
        replaceAll(text, "{{listen.ready}}", loopback(instance.ready));
        replaceAll(text, "{{platform.address}}", loopback(store_.port(i)));
        replaceAll(text, "{{advice}}", loopback(store_.port(i)));
        replaceAll(text, "{{limits.cpuShare}}", "0.25");
        replaceAll(text, "{{limits.memoryMb}}", "260");
        replaceAll(text, "{{limits.maxFds}}", "4100");
        replaceAll(text, "{{bounds.maxHoldMs}}", "6000");
        replaceAll(text, "{{bounds.graceS}}", "6");
        replaceAll(text, "{{bounds.status_s}}", "120");
        replaceAll(text, "{{bounds.configApplyMs}}", "2000");
        std::ofstream(instance.settings) << text;
        instances_.push_back(std::move(instance));
    }
}

Fleet::~Fleet()
{
    for (Instance &instance : instances_)
        instance.process.reset();
    if (const char *keep = std::getenv("KEEP_LOGS"); keep && *keep)
        std::cerr << "logs: " << folder_ << std::endl;
    else
        std::filesystem::remove_all(folder_);
    workers_.clear();
}

void Fleet::addWorker(const std::string &id, const WorkerKind &kind)
{
    workers_.push_back(std::make_unique<Worker>(store_, journal_, id, kind));
}

void Fleet::restartInstance(std::size_t i)
{
    Instance &instance = instances_.at(i);
    instance.process.reset();
    instance.process = std::make_unique<Process>(
            std::vector<std::string> {program, "entry", instance.settings}, instance.log);
}

void Fleet::startInstances()
{
    for (std::size_t i = 0; i < instances_.size(); ++i)
        restartInstance(i);
}

bool Fleet::awaitReady(std::int64_t timeout)
{
    const std::int64_t until = nowMs() + timeout;
    for (const Instance &instance : instances_) {
        while (true) {
            httplib::Client client("127.0.0.1", instance.ready);
            const auto response = client.Get("/carawaymount/readiness");
            if (response && response->status == 200)
                break;
            if (nowMs() > until)
                return false;
            sleepMs(100);
        }
    }
    return true;
}

void Fleet::setAdvice(HttpServer::Handler advice)
{
    store_.setAdvice(std::move(advice));
}

Answer Fleet::call(std::size_t instance, const std::string &method, const std::string &path,
                   const std::string &body)
{
    httplib::Client client("127.0.0.1", instances_.at(instance).front);
    client.set_read_timeout(std::chrono::seconds(4));
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.set_header("Host", host);
    request.set_header("Deadline-Ms", "3000");
    if (!body.empty()) {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    Answer answer;
    if (const auto result = client.send(request)) {
        answer.status = result->status;
        answer.body = result->body;
        const Json json = Json::parse(result->body, nullptr, false);
        if (json.is_object())
            answer.state = json.value("state", "");
    }
    record_.write("client: " + method + " " + path + " at edge-" + std::to_string(instance + 1)
                  + " -> " + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

bool Fleet::submit(const std::string &queue, const std::string &id, const Json &job)
{
    record_.write("client sends job " + id + ": " + job.dump());
    const std::string path = "/" + queue + "/" + id;
    for (std::size_t attempt = 0; attempt < 10; ++attempt) {
        if (call(attempt % instances_.size(), "POST", path, job.dump()).status == 200)
            return true;
        sleepMs(500);
    }
    return false;
}

Answer Fleet::ask(std::size_t instance, const std::string &queue, const std::string &id)
{
    return call(instance, "GET", "/" + queue + "/" + id);
}

std::int64_t Fleet::used() const
{
    std::int64_t sum = 0;
    for (const Run &run : journal_.runs())
        sum += run.isOpen() ? run.cpu : 0;
    return sum;
}

std::int64_t Fleet::usedOn(const std::string &worker) const
{
    std::int64_t sum = 0;
    for (const Run &run : journal_.runs())
        sum += run.isOpen() && run.worker == worker ? run.cpu : 0;
    return sum;
}

std::int64_t Fleet::capacity() const
{
    std::int64_t sum = 0;
    for (const auto &worker : workers_)
        sum += worker->isUp() ? worker->cpu() : 0;
    return sum;
}

} // namespace review
