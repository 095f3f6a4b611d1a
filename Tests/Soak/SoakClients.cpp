#include "Soak/SoakClients.h"

#include "Soak/SoakAdvice.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <array>
#include <set>

namespace caraway::tests {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds deadline {3000};
/// After its deadline a request counts as not answered.
constexpr Milliseconds patience {4000};
constexpr Milliseconds retryInterval {500};
constexpr Milliseconds askInterval {500};
constexpr int attempts = 10;
/// Jobs that are repeated, cancelled or asked for.
constexpr std::size_t recentJobs = 60;
constexpr Milliseconds shortestLongRun {6000};
constexpr Milliseconds longestLongRun {11'000};
/// Tasks of a job with long runs.
constexpr std::int64_t longTasks = 3;
/// Failures of a job's runs that no run survives.
constexpr std::int64_t always = 1'000'000;

std::int64_t pick(std::mt19937_64 &random, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

} // namespace

SoakClients::SoakClients(std::vector<SoakFront> fronts, SoakJournal &journal, std::uint64_t seed,
                         const SoakLoad &load)
    : fronts_(std::move(fronts))
    , journal_(journal)
    , seed_(seed)
    , load_(load)
    , namePrefix_(static_cast<std::uint64_t>(soakUnixMs()) & 0xffffffff)
{
}

SoakClients::~SoakClients()
{
    stop();
}

void SoakClients::start()
{
    for (std::size_t i = 0; i < load_.clients; ++i)
        threads_.emplace_back([this, i] { runClient(seed_ * load_.clients + i); });
}

void SoakClients::stop()
{
    isStopping_ = true;
    for (std::thread &thread : threads_)
        thread.join();
    threads_.clear();
}

std::vector<SoakAnswer> SoakClients::askUntilFinished(Milliseconds timeout)
{
    const Milliseconds until = soakNow() + timeout;
    Connections connections = connect();
    std::set<std::pair<std::size_t, std::size_t>> open;
    const std::vector<SoakJob> all = jobs();
    for (std::size_t job = 0; job < all.size(); ++job) {
        for (std::size_t front = 0; front < fronts_.size(); ++front) {
            if (all[job].acceptedAt && !all[job].isCancelSent)
                open.emplace(job, front);
        }
    }
    std::vector<SoakAnswer> last;
    while (true) {
        last.clear();
        for (auto entry = open.begin(); entry != open.end();) {
            const SoakAnswer answer = call(connections, entry->second, "GET", all[entry->first]);
            const bool isFinished = answer.state == all[entry->first].finalState;
            if (!isFinished)
                last.push_back(answer);
            entry = isFinished ? open.erase(entry) : std::next(entry);
        }
        if (open.empty() || soakNow() > until)
            return last;
        soakSleep(askInterval);
    }
}

std::vector<SoakJob> SoakClients::jobs() const
{
    const std::lock_guard lock(mutex_);
    return jobs_;
}

Milliseconds SoakClients::remainingTime(std::int64_t cores) const
{
    Milliseconds longestPath;
    Milliseconds coreTime;
    for (const SoakJob &job : jobs()) {
        if (!job.acceptedAt)
            continue;
        longestPath = std::max(longestPath, job.longestPath);
        coreTime += job.coreTime;
    }
    return longestPath + coreTime / cores;
}

void SoakClients::runClient(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Connections connections = connect();
    while (!isStopping_) {
        const std::int64_t action = pick(random, 0, 99);
        if (action < 45)
            submit(connections, random);
        else if (action < 60)
            repeat(connections, random);
        else if (action < 64)
            cancel(connections, random);
        else
            ask(connections, random);
        soakSleep(Milliseconds(pick(random, 50, 450)));
    }
}

SoakClients::Connections SoakClients::connect() const
{
    Connections connections;
    for (const SoakFront &front : fronts_) {
        auto client = std::make_unique<httplib::Client>("127.0.0.1", front.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(std::chrono::milliseconds(deadline.count()));
        client->set_read_timeout(std::chrono::milliseconds(patience.count()));
        connections.push_back(std::move(client));
    }
    return connections;
}

SoakAnswer SoakClients::call(Connections &connections, std::size_t front, const std::string &method,
                             const SoakJob &job)
{
    httplib::Request request;
    request.method = method;
    request.path = "/" + job.queue + "/" + job.name.value();
    request.set_header("Host", host);
    request.set_header("Deadline-Ms", std::to_string(deadline.count()));
    if (method == "POST") {
        request.set_header("Content-Type", "application/json");
        request.body = job.body;
    }
    SoakAnswer answer;
    answer.instance = fronts_[front].instance;
    answer.job = job.name;
    answer.method = method;
    answer.sentAt = soakNow();
    const auto result = connections[front]->send(request);
    answer.receivedAt = soakNow();
    if (result) {
        answer.status = result->status;
        const Json body = Json::parse(result->body, nullptr, false);
        if (method == "GET" && result->status == 200 && body.is_object())
            answer.state = body.value("state", "");
    } else {
        answer.state = httplib::to_string(result.error());
    }
    journal_.addAnswer(answer);
    return answer;
}

void SoakClients::submit(Connections &connections, std::mt19937_64 &random)
{
    const SoakJob job = makeJob(random);
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        index = jobs_.size();
        jobs_.push_back(job);
    }
    std::size_t front = static_cast<std::size_t>(random() % fronts_.size());
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const SoakAnswer answer = call(connections, front, "POST", job);
        noteAttempt(index, answer);
        if (answer.status == 200)
            return;
        front = (front + 1) % fronts_.size();
        soakSleep(retryInterval);
    }
}

void SoakClients::repeat(Connections &connections, std::mt19937_64 &random)
{
    const std::size_t front = static_cast<std::size_t>(random() % fronts_.size());
    const std::optional<std::size_t> index = pickRecent(random);
    if (index && jobAt(*index).acceptedAt && !jobAt(*index).isCancelSent)
        call(connections, front, "POST", jobAt(*index));
}

void SoakClients::cancel(Connections &connections, std::mt19937_64 &random)
{
    const std::size_t front = static_cast<std::size_t>(random() % fronts_.size());
    const std::optional<std::size_t> index = pickRecent(random);
    if (!index || !jobAt(*index).acceptedAt)
        return;
    {
        const std::lock_guard lock(mutex_);
        jobs_[*index].isCancelSent = true;
    }
    const SoakAnswer answer = call(connections, front, "DELETE", jobAt(*index));
    const std::lock_guard lock(mutex_);
    if (answer.status == 200 && !jobs_[*index].cancelledAt)
        jobs_[*index].cancelledAt = answer.receivedAt;
}

void SoakClients::ask(Connections &connections, std::mt19937_64 &random)
{
    const std::size_t front = static_cast<std::size_t>(random() % fronts_.size());
    if (const std::optional<std::size_t> index = pickRecent(random))
        call(connections, front, "GET", jobAt(*index));
}

SoakJobPlan SoakClients::planPlain(std::mt19937_64 &random, std::vector<std::int64_t> &counts)
{
    SoakJobPlan plan;
    plan.work = Milliseconds(pick(random, 0, 3) == 0 ? pick(random, 1500, 4000)
                                                     : pick(random, 100, 800));
    counts.push_back(pick(random, 1, 4));
    if (pick(random, 0, 2) == 0)
        counts.push_back(pick(random, 1, 2));
    plan.steps.resize(counts.size(), {0, 1000});
    return plan;
}

SoakJobPlan SoakClients::planMixed(std::mt19937_64 &random, std::vector<std::int64_t> &counts,
                                   std::string &queue)
{
    constexpr std::array queues {"urgent", "queue", "queue", "batch"};
    SoakJobPlan plan;
    queue = queues[static_cast<std::size_t>(pick(random, 0, 3))];
    plan.needsTicket = queue == "batch";
    plan.work = Milliseconds(queue == "urgent" ? pick(random, 100, 500) : pick(random, 300, 2500));
    const std::int64_t outcome = pick(random, 0, 99);
    plan.failures = outcome < 3 ? always : outcome < 15 ? pick(random, 1, 2) : 0;
    const std::int64_t steps = pick(random, 1, 3);
    for (std::int64_t step = 0; step < steps; ++step) {
        const bool isGang = pick(random, 0, 3) == 0;
        counts.push_back(isGang ? pick(random, 2, 8) : pick(random, 1, 10));
        plan.steps.push_back({isGang ? counts.back() : 0, pick(random, 1, 4) * 250});
    }
    return plan;
}

void SoakClients::lengthen(std::mt19937_64 &random, SoakJobPlan &plan,
                           std::vector<std::int64_t> &counts)
{
    plan.work = Milliseconds(pick(random, shortestLongRun.count(), longestLongRun.count()));
    counts = {std::min(counts.front(), longTasks)};
    plan.steps.resize(1);
    plan.steps.front().members = std::min(plan.steps.front().members, longTasks);
}

void SoakClients::widen(const SoakJob &job, SoakJobPlan &plan, std::vector<std::int64_t> &counts)
{
    if (!plan.needsTicket || !SoakAdvice::isNarrow(job.name.value() + ".0.0"))
        return;
    constexpr std::int64_t tasks = 48;
    plan.work = Milliseconds(700);
    plan.failures = 0;
    plan.steps = {{0, 4000}};
    counts = {tasks};
}

JobName SoakClients::nextName() const
{
    static std::atomic<std::uint64_t> lastNumber = 0;
    return JobName(fmt::format("{:08x}{:08x}", namePrefix_, ++lastNumber));
}

SoakJob SoakClients::makeJob(std::mt19937_64 &random) const
{
    SoakJob job;
    job.name = nextName();
    job.queue = "queue";
    std::vector<std::int64_t> counts;
    SoakJobPlan plan
            = load_.isMixed ? planMixed(random, counts, job.queue) : planPlain(random, counts);
    if (load_.hasLongRuns && pick(random, 0, 3) == 0)
        lengthen(random, plan, counts);
    if (load_.hasNarrowSteps)
        widen(job, plan, counts);
    // A run that fails does so after half of its work.
    const Milliseconds workOfTask
            = plan.work + plan.work * std::min(plan.failures, maxAttempts) / 2;
    Json steps = Json::array();
    for (std::size_t step = 0; step < counts.size(); ++step) {
        const bool isGang = plan.steps[step].members > 0;
        steps.push_back({{"count", counts[step]},
                         {"cpu", plan.steps[step].millicores},
                         {"memMb", 128},
                         {"estimateMs", plan.work.count()}});
        if (step > 0)
            steps.back()["after"] = {step - 1};
        if (isGang)
            steps.back()["gang"] = true;
        job.gangs.push_back(isGang);
        job.longestPath += workOfTask;
        job.coreTime += workOfTask * counts[step] * plan.steps[step].millicores / 1000;
    }
    job.body = Json {{"spec", plan.toSpec()}, {"steps", steps}}.dump();
    if (plan.failures >= maxAttempts)
        job.finalState = "failed";
    for (std::size_t step = 0; step < counts.size(); ++step) {
        for (std::int64_t index = 0; index < counts[step]; ++index)
            job.tasks.emplace_back(fmt::format("{}.0.{}.{}", job.name.value(), step, index));
    }
    return job;
}

void SoakClients::noteAttempt(std::size_t index, const SoakAnswer &answer)
{
    const std::lock_guard lock(mutex_);
    SoakJob &job = jobs_[index];
    if (answer.status == 200)
        job.acceptedAt = answer.receivedAt;
    else if (answer.status != 429 && answer.status != 503)
        job.isOpen = true;
}

std::optional<std::size_t> SoakClients::pickRecent(std::mt19937_64 &random) const
{
    const std::lock_guard lock(mutex_);
    if (jobs_.empty())
        return std::nullopt;
    return jobs_.size() - 1 - random() % std::min(jobs_.size(), recentJobs);
}

SoakJob SoakClients::jobAt(std::size_t index) const
{
    const std::lock_guard lock(mutex_);
    return jobs_[index];
}

} // namespace caraway::tests
