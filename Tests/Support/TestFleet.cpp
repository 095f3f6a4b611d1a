#include "Support/TestFleet.h"

#include "Decisions/StableHash.h"

#include <fmt/format.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

namespace caraway::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto pollStep = 20ms;

HttpAnswer toAnswer(const httplib::Result &response)
{
    if (!response)
        return {};
    return {response->status, nlohmann::json::parse(response->body, nullptr, false)};
}

bool isFree(int port)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const int bound = bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    close(probe);
    return bound == 0;
}

httplib::Client makeClient(int port, int limitMs)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(2s);
    client.set_read_timeout(std::chrono::milliseconds(limitMs));
    return client;
}

void mustPost(int port, const std::string &path, const nlohmann::json &body)
{
    httplib::Client client = makeClient(port, 5000);
    if (!client.Post(path, body.dump(), "application/json"))
        throw std::runtime_error("a stand-in does not answer at " + path);
}

} // namespace

TestFleet::TestFleet(FleetShape shape)
    : shape_(std::move(shape))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carawaymount-XXXXXX").string();
    directory_ = mkdtemp(pattern.data());
    entryStates_.assign(shape_.entries, "live");
    workerStates_.assign(workerCount(), "live");
    entries_.resize(shape_.entries);
    workers_.resize(workerCount());
}

TestFleet::~TestFleet()
{
    entries_.clear();
    workers_.clear();
    std::error_code ignored;
    if (!std::getenv("CARAWAYMOUNT_KEEP_LOGS"))
        std::filesystem::remove_all(directory_, ignored);
    else
        fmt::print(stderr, "Logs are kept in {}\n", directory_.string());
}

int TestFleet::workerCount() const
{
    return static_cast<int>(shape_.zones.size()) * shape_.workersPerZone;
}

std::string TestFleet::entryName(int entry) const
{
    return fmt::format("entry-{}", entry);
}

std::string TestFleet::workerName(int worker) const
{
    const std::string &zone = shape_.zones[worker / shape_.workersPerZone];
    return fmt::format("{}-w{}", zone, worker % shape_.workersPerZone);
}

int TestFleet::newPort()
{
    // Below the ports that the system hands out to outgoing connections.
    constexpr int firstPort = 10'000;
    constexpr int portCount = 20'000;
    constexpr int portsPerProcess = 199;
    static int next = getpid() * portsPerProcess % portCount;
    for (;;) {
        const int port = firstPort + next++ % portCount;
        if (isFree(port))
            return port;
    }
}

void TestFleet::start()
{
    startWithoutPreset();
    if (!eventually([&] { return usePreset(0, "ordinary").status == 200; })
        || !eventually([&] { return isServing(); }))
        throw std::runtime_error("the fleet did not begin to serve");
}

void TestFleet::startWithoutPreset()
{
    ports_["store"] = newPort();
    ports_["proxy"] = newPort();
    const auto startStandin = [&](const std::string &kind, std::vector<std::string> extra) {
        std::vector<std::string> command = {STANDIN_PATH, kind, std::to_string(ports_[kind])};
        command.insert(command.end(), extra.begin(), extra.end());
        return std::make_unique<ChildProcess>(command, path(kind + ".log"));
    };
    store_ = startStandin("store", {});
    proxy_ = startStandin("proxy", {});
    for (const char *kind : {"store", "proxy"})
        waitForStandin(ports_[kind]);
    for (int worker = 0; worker < workerCount(); ++worker) {
        const std::string link = "worker-" + workerName(worker);
        ports_[link] = newPort();
        ports_["real-" + link] = newPort();
        openLink(link, ports_[link], ports_["real-" + link]);
        startWorker(worker);
    }
    for (int entry = 0; entry < shape_.entries; ++entry) {
        for (const std::string role : {"caller-", "peer-", "store-"}) {
            const std::string link = role + entryName(entry);
            ports_[link] = newPort();
            ports_["real-" + link] = role == "store-" ? ports_["store"] : newPort();
            openLink(link, ports_[link], ports_["real-" + link]);
        }
        for (int from = 0; from < shape_.entries; ++from) {
            const std::string link = peerLink(from, entry);
            ports_[link] = newPort();
            openLink(link, ports_[link], ports_["real-peer-" + entryName(entry)]);
        }
        ports_["list"] = ports_["list-" + entryName(entry)] = newPort();
        lists_.push_back(startStandin("list", {fmt::format("--lag={}", shape_.listLagMs)}));
        waitForStandin(ports_["list"]);
        writeSettings(entry);
    }
    publishList();
    for (int entry = 0; entry < shape_.entries; ++entry)
        startEntry(entry);
}

void TestFleet::waitForStandin(int port)
{
    if (!eventually([&] { return bool(makeClient(port, 1000).Get("/")); }))
        throw std::runtime_error("a stand-in did not start");
}

std::string TestFleet::peerLink(int from, int to) const
{
    return fmt::format("peer-{}/from-{}", entryName(to), entryName(from));
}

void TestFleet::killWorker(int worker)
{
    workers_.at(worker)->kill();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const nlohmann::json line
            = {{"at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
               {"worker", workerName(worker)},
               {"what", "killed"},
               {"job", ""},
               {"task", 0},
               {"attempt", 0}};
    std::ofstream(path(workerName(worker) + ".records"), std::ios::app) << line.dump() << '\n';
}

void TestFleet::startWorker(int worker)
{
    const std::string name = workerName(worker);
    workers_[worker] = std::make_unique<ChildProcess>(
            std::vector<std::string> {STANDIN_PATH, "worker",
                                      std::to_string(ports_["real-worker-" + name]), "--id=" + name,
                                      "--records=" + path(name + ".records"),
                                      fmt::format("--millicores={}", shape_.millicores),
                                      fmt::format("--memory={}", shape_.memoryBytes),
                                      fmt::format("--slots={}", shape_.slots)},
            path(name + ".log"));
}

void TestFleet::startEntry(int entry)
{
    const std::string name = entryName(entry);
    entries_[entry] = std::make_unique<ChildProcess>(
            std::vector<std::string> {CARAWAYMOUNT_PATH, "serve", path(name + ".toml")},
            path(name + ".log"));
}

void TestFleet::writeSettings(int entry) const
{
    const std::string name = entryName(entry);
    std::ofstream settings(path(name + ".toml"));
    settings << fmt::format(R"([instance]
id = "{}"
zone = "{}"
callers = "127.0.0.1:{}"
peers = "127.0.0.1:{}"
[platform]
store = "127.0.0.1:{}"
instance_list = "127.0.0.1:{}"
[timing]
{}
)",
                            name, shape_.zones[entry % shape_.zones.size()],
                            ports_.at("real-caller-" + name), ports_.at("real-peer-" + name),
                            ports_.at("store-" + name), ports_.at("list-" + name), shape_.timing);
}

void TestFleet::openLink(const std::string &name, int listen, int to) const
{
    mustPost(ports_.at("proxy"), "/links", {{"name", name}, {"listen", listen}, {"to_port", to}});
}

void TestFleet::publishList() const
{
    for (int viewer = 0; viewer < shape_.entries; ++viewer)
        mustPost(ports_.at("list-" + entryName(viewer)), "/instances", listSeenBy(viewer));
}

nlohmann::json TestFleet::listSeenBy(int viewer) const
{
    nlohmann::json list
            = {{"entries", nlohmann::json::array()}, {"workers", nlohmann::json::array()}};
    for (int entry = 0; entry < shape_.entries; ++entry) {
        const std::string name = entryName(entry);
        if (entryStates_[entry].empty())
            continue;
        list["entries"].push_back({{"id", name},
                                   {"zone", shape_.zones[entry % shape_.zones.size()]},
                                   {"host", "127.0.0.1"},
                                   {"caller_port", ports_.at("caller-" + name)},
                                   {"peer_port", ports_.at(peerLink(viewer, entry))},
                                   {"state", entryStates_[entry]}});
    }
    for (int worker = 0; worker < workerCount(); ++worker) {
        const std::string &zone = shape_.zones[worker / shape_.workersPerZone];
        const int rack = worker % shape_.workersPerZone / shape_.workersPerRack;
        if (workerStates_[worker].empty())
            continue;
        list["workers"].push_back({{"id", workerName(worker)},
                                   {"zone", zone},
                                   {"rack", fmt::format("{}-r{}", zone, rack)},
                                   {"host", "127.0.0.1"},
                                   {"port", ports_.at("worker-" + workerName(worker))},
                                   {"state", workerStates_[worker]},
                                   {"capacity",
                                    {{"processors_millicores", shape_.millicores},
                                     {"memory_bytes", shape_.memoryBytes},
                                     {"accelerators", 0},
                                     {"slots", shape_.slots}}}});
    }
    return list;
}

bool TestFleet::isServing() const
{
    std::size_t open = 0;
    for (int entry = 0; entry < shape_.entries; ++entry) {
        const HttpAnswer answer = get(entry, "/v1/workers", 1000);
        for (const nlohmann::json &row : answer.body)
            open += row.is_object() && row.value("state", "") == "open" ? 1 : 0;
        if (get(entry, "/readyz", 1000).status != 200)
            return false;
    }
    return open == workers_.size();
}

HttpAnswer TestFleet::get(int entry, const std::string &path, int limitMs) const
{
    return toAnswer(makeClient(ports_.at("caller-" + entryName(entry)), limitMs).Get(path));
}

std::string TestFleet::getText(int entry, const std::string &path) const
{
    const httplib::Result response
            = makeClient(ports_.at("caller-" + entryName(entry)), 5000).Get(path);
    return response ? response->body : std::string();
}

HttpAnswer TestFleet::post(int entry, const std::string &path, const nlohmann::json &body,
                           int limitMs) const
{
    return toAnswer(makeClient(ports_.at("caller-" + entryName(entry)), limitMs)
                            .Post(path, body.dump(), "application/json"));
}

HttpAnswer TestFleet::put(int entry, const std::string &path, const nlohmann::json &body) const
{
    return toAnswer(makeClient(ports_.at("caller-" + entryName(entry)), 10'000)
                            .Put(path, body.dump(), "application/json"));
}

HttpAnswer TestFleet::postText(int entry, const std::string &path, const std::string &body) const
{
    return toAnswer(makeClient(ports_.at("caller-" + entryName(entry)), 10'000)
                            .Post(path, body, "application/json"));
}

HttpAnswer TestFleet::run(int entry, const nlohmann::json &job, int waitMs) const
{
    return post(entry, "/v1/jobs", {{"job", job}, {"wait_ms", waitMs}});
}

nlohmann::json TestFleet::makeJob(const std::string &name, const nlohmann::json &changes)
{
    nlohmann::json job = {{"name", name},
                          {"kind", "preview"},
                          {"team", "editors"},
                          {"per_task",
                           {{"processors_millicores", 1000},
                            {"memory_bytes", 1 << 20},
                            {"accelerators", 0},
                            {"slots", 1}}},
                          {"payload", name}};
    if (changes.is_object())
        job.merge_patch(changes);
    return job;
}

nlohmann::json TestFleet::makePreset(const std::string &name)
{
    const auto kind = [](const char *kindName, int weight, int wait, bool urgent) {
        return nlohmann::json {
                {"kind", kindName},      {"weight", weight},           {"promised_wait_ms", wait},
                {"queue_bound", 10'000}, {"retry_budget_percent", 20}, {"preemption", "none"},
                {"urgent", urgent}};
    };
    const nlohmann::json quota = {{"processors_millicores", 10'000'000},
                                  {"memory_bytes", 1LL << 45},
                                  {"accelerators", 0},
                                  {"slots", 100'000}};
    return {{"name", name},
            {"kinds",
             {kind("filing", 4, 60'000, false), kind("merge", 1, 120'000, false),
              kind("preview", 2, 3000, true)}},
            {"teams",
             {{{"team", "editors"}, {"weight", 1}, {"quota", quota}},
              {{"team", "filers"}, {"weight", 1}, {"quota", quota}}}}};
}

HttpAnswer TestFleet::usePreset(int entry, const std::string &name) const
{
    const nlohmann::json change = {{"id", fmt::format("change-{}", name)}, {"who", "test"}};
    return post(entry, "/v1/preset-in-force", {{"preset", makePreset(name)}, {"change", change}},
                3000);
}

int TestFleet::holderOf(const std::string &zone) const
{
    const HttpAnswer answer
            = toAnswer(makeClient(ports_.at("store"), 2000).Get("/kv?key=shards/" + zone));
    if (answer.status != 200)
        return -1;
    const nlohmann::json record = nlohmann::json::parse(answer.body["value"].get<std::string>());
    for (int entry = 0; entry < shape_.entries; ++entry) {
        if (record["holder"] == entryName(entry) && !record["released"])
            return entry;
    }
    return -1;
}

std::string TestFleet::homeOf(const std::string &job) const
{
    return *std::ranges::max_element(
            shape_.zones, {}, [&](const std::string &zone) { return rendezvousWeight(job, zone); });
}

void TestFleet::controlStore(const nlohmann::json &orders) const
{
    mustPost(ports_.at("store"), "/control", orders);
}

nlohmann::json TestFleet::storeHistory() const
{
    return toAnswer(makeClient(ports_.at("store"), 2000).Get("/history")).body;
}

nlohmann::json TestFleet::links() const
{
    return toAnswer(makeClient(ports_.at("proxy"), 2000).Get("/links")).body;
}

HttpAnswer TestFleet::cancel(int entry, const std::string &job) const
{
    return toAnswer(
            makeClient(ports_.at("caller-" + entryName(entry)), 10'000).Delete("/v1/jobs/" + job));
}

nlohmann::json TestFleet::storeStats() const
{
    return toAnswer(makeClient(ports_.at("store"), 2000).Get("/stats")).body;
}

void TestFleet::controlWorker(int worker, const nlohmann::json &orders) const
{
    mustPost(ports_.at("real-worker-" + workerName(worker)), "/control", orders);
}

void TestFleet::setFaults(const std::string &link, const nlohmann::json &faults) const
{
    nlohmann::json order = faults;
    order["name"] = link;
    mustPost(ports_.at("proxy"), "/faults", order);
}

void TestFleet::setWorkerState(int worker, const std::string &state)
{
    workerStates_.at(worker) = state;
    publishList();
}

void TestFleet::setEntryState(int entry, const std::string &state)
{
    entryStates_.at(entry) = state;
    publishList();
}

std::vector<nlohmann::json> TestFleet::records() const
{
    std::vector<nlohmann::json> lines;
    for (int worker = 0; worker < workerCount(); ++worker) {
        std::ifstream file(path(workerName(worker) + ".records"));
        for (std::string line; std::getline(file, line);)
            lines.push_back(nlohmann::json::parse(line));
    }
    std::ranges::stable_sort(lines, {}, [](const nlohmann::json &line) {
        return line["at_ms"].get<std::int64_t>();
    });
    return lines;
}

std::vector<std::string> TestFleet::violations() const
{
    std::vector<std::string> found;
    std::map<std::pair<std::string, int>, std::set<std::string>> running;
    for (const nlohmann::json &line : records()) {
        if (line["what"] == "over_committed") {
            found.push_back("over-committed: " + line.dump());
            continue;
        }
        if (line["what"] == "killed") {
            for (auto &[task, places] : running)
                std::erase_if(places, [&](const std::string &place) {
                    return place.starts_with(line["worker"].get<std::string>() + "#");
                });
            continue;
        }
        std::set<std::string> &places = running[{line["job"], line["task"]}];
        const std::string place = fmt::format("{}#{}", line["worker"].get<std::string>(),
                                              line["attempt"].get<int>());
        if (line["what"] != "start") {
            places.erase(place);
            continue;
        }
        places.insert(place);
        if (places.size() > 1)
            found.push_back("in two places: " + line.dump());
    }
    return found;
}

int TestFleet::startsOf(const std::string &job) const
{
    const std::vector<nlohmann::json> lines = records();
    return static_cast<int>(std::ranges::count_if(lines, [&](const nlohmann::json &line) {
        return line["what"] == "start" && line["job"] == job;
    }));
}

bool TestFleet::eventually(const std::function<bool()> &condition, int limitMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollStep);
    }
    return true;
}

} // namespace caraway::tests
