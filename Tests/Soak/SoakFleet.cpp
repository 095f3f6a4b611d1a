#include "Soak/SoakFleet.h"

#include "Soak/SoakClients.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <random>
#include <sstream>
#include <stdexcept>

namespace caraway::tests {

namespace {

constexpr Milliseconds longestStart {15'000};
constexpr Milliseconds readinessInterval {100};

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

} // namespace

SoakInstance::SoakInstance(InstanceId id, int storePort, const SoakFleetOptions &options)
    : id_(std::move(id))
    , place_(id_)
    , folder_(options.folder)
    , program_(options.program)
    , settingsTemplate_(options.settingsTemplate)
    , storePort_(storePort)
    , callersPort_(findFreePort())
    , readinessPort_(findFreePort())
    , metricsPort_(findFreePort())
    , memoryMegabytes_(options.memoryMegabytes)
    , descriptors_(options.descriptors)
{
    writeSettings();
}

void SoakInstance::writeSettings() const
{
    std::ifstream file(settingsTemplate_);
    std::string settings {std::istreambuf_iterator<char>(file), {}};
    const auto address = [](int port) { return fmt::format("127.0.0.1:{}", port); };
    replaceAll(settings, "{{ip}}:9464", address(metricsPort_));
    replaceAll(settings, "{{ip}}:{{portRange.0}}", address(findFreePort()));
    replaceAll(settings, "{{node}}", id_.value());
    replaceAll(settings, "{{zone}}", "zone-a");
    replaceAll(settings, "{{listen.front}}", address(callersPort_));
    replaceAll(settings, "{{listen.ready}}", address(readinessPort_));
    replaceAll(settings, "{{platform.address}}", address(storePort_));
    replaceAll(settings, "{{advice}}", address(storePort_));
    replaceAll(settings, "{{limits.cpuShare}}", "0.25");
    replaceAll(settings, "{{bounds.maxHoldMs}}",
               std::to_string(SoakWorkerTimes::longestLease.count()));
    replaceAll(settings, "{{bounds.graceS}}", "6");
    replaceAll(settings, "{{bounds.status_s}}", "900");
    replaceAll(settings, "{{bounds.configApplyMs}}", "2000");
    replaceAll(settings, "{{limits.memoryMb}}", std::to_string(memoryMegabytes_));
    replaceAll(settings, "{{limits.maxFds}}", std::to_string(descriptors_));
    std::ofstream(settingsFile()) << settings;
}

void SoakInstance::start()
{
    openTerm();
    openTerm_.reset();
    process_ = std::make_unique<ChildProcess>(
            std::vector<std::string> {program_, "entry", settingsFile()}, logFile());
}

void SoakInstance::replace(InstanceId id)
{
    log_ = {};
    id_ = std::move(id);
    writeSettings();
    start();
}

void SoakInstance::kill()
{
    if (process_)
        process_->kill();
}

void SoakInstance::signal(int number)
{
    if (process_)
        process_->signal(number);
}

bool SoakInstance::isReady() const
{
    httplib::Client client("127.0.0.1", readinessPort_);
    client.set_read_timeout(std::chrono::seconds(1));
    const auto response = client.Get("/carawaymount/readiness");
    return response && response->status == 200;
}

std::optional<SoakInstance::Term> SoakInstance::openTerm()
{
    const auto numberIn = [](const std::string &line, const std::string &field) {
        return std::stoull(line.substr(line.find(field) + field.size()));
    };
    if (!log_.is_open())
        log_.open(logFile());
    log_.clear();
    for (std::string line; std::getline(log_, line);) {
        if (line.find("event=term_started") != std::string::npos)
            openTerm_ = Term {numberIn(line, " generation="),
                              static_cast<std::int64_t>(numberIn(line, " token="))};
        if (line.find("event=term_ended") != std::string::npos)
            openTerm_.reset();
    }
    return openTerm_;
}

nlohmann::json SoakFleet::queue(const std::string &name, int priority)
{
    return {{"name", name},
            {"hostname", SoakClients::host},
            {"prefix", "/" + name + "/"},
            {"type", "unsafe"},
            {"timeoutMs", 3000},
            {"targetDurationMs", 3000},
            {"priority", priority},
            {"service", "work"},
            {"maxAttempts", SoakClients::maxAttempts},
            {"stretch", 4.0}};
}

SoakFleet::SoakFleet(const SoakFleetOptions &options, SoakJournal &journal)
    : options_(options)
    , journal_(journal)
    , advice_(options.instances, options.approvalTime)
    , store_(options.instances)
{
    if (options.hasNarrowSteps)
        advice_.setNarrowSteps();
    nlohmann::json queues = nlohmann::json::array({queue("queue", 1)});
    if (options.hasSeveralQueues) {
        queues.push_back(queue("urgent", 0));
        queues.push_back(queue("batch", 2));
        queues.back()["advice"] = {{"decisionMs", options.approvalTime.count()},
                                   {"perWorkerMs", 0.1},
                                   {"validityMs", SoakAdvice::validity.count()}};
    }
    store_.setAdvice([this](std::size_t instance, const SoakRequest &request) {
        return advice_.handle(instance, request);
    });
    const nlohmann::json service {
            {"name", "work"},       {"healthPath", "/health"},
            {"maxConnections", 64}, {"protocol", "h1"},
            {"tls", false},         {"rejectsOverload", options.hasSeveralQueues},
            {"standby", false}};
    store_.put("op/config",
               {{"version", 3},
                {"routes", queues},
                {"services", nlohmann::json::array({service})},
                {"limits", {{"maxBodyBytes", 262'144}}}});
    for (int i = 0; i < options.instances; ++i) {
        instances_.push_back(std::make_unique<SoakInstance>(
                InstanceId(fmt::format("edge-{}", i + 1)), store_.port(i), options));
    }
}

void SoakFleet::startWorkers()
{
    std::mt19937_64 random(options_.seed);
    for (int i = 0; i < options_.workers; ++i) {
        workers_.push_back(std::make_unique<SoakWorker>(
                store_, journal_, work_, advice_,
                WorkerId(fmt::format("i-{:08x}", 0x1a2b3c00 + i * 17)), fmt::format("r1-{}", i / 2),
                static_cast<std::int64_t>(random() % 21), options_.areEndsUnordered));
    }
}

void SoakFleet::startInstances()
{
    for (const auto &instance : instances_)
        instance->start();
}

void SoakFleet::awaitInstances()
{
    const Milliseconds until = soakNow() + longestStart;
    while (!std::ranges::all_of(instances_, [](const auto &i) { return i->isReady(); })) {
        if (soakNow() > until)
            throw std::runtime_error("an entry instance is not ready in time");
        soakSleep(readinessInterval);
    }
}

} // namespace caraway::tests
