#include "Soak/SoakTroubles.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace caraway::tests {

namespace {

constexpr Milliseconds shutdownBound {6500};
constexpr Milliseconds exitPollInterval {50};
/// Between two troubles of one instance.
constexpr Milliseconds recovery {500};
constexpr Milliseconds shortestLongCut {3000};
constexpr Milliseconds longestLongCut {12'000};
/// A holder acts without the store for less than this.
constexpr Milliseconds shortestPartition {6000};
const std::string storeTarget = "store";

} // namespace

SoakTroubles::SoakTroubles(SoakFleet &fleet, SoakJournal &journal, std::uint64_t seed,
                           std::string kinds, bool hasLongCuts)
    : fleet_(fleet)
    , journal_(journal)
    , random_(seed)
    , kinds_(std::move(kinds))
    , hasLongCuts_(hasLongCuts)
{
}

void SoakTroubles::run(Milliseconds duration)
{
    const Milliseconds until = soakNow() + duration;
    if (!kinds_.empty())
        at(soakNow(), [this, until] { beginNext(until); });
    at(until, [] {});
    while (!actions_.empty()) {
        const auto next = actions_.begin();
        soakSleep(std::max(next->first - soakNow(), Milliseconds(0)));
        const Action action = std::move(next->second);
        actions_.erase(next);
        action();
    }
}

std::int64_t SoakTroubles::pick(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

SoakTroubles::Choices SoakTroubles::choose()
{
    Choices choices;
    choices.kind = kinds_[static_cast<std::size_t>(
            pick(0, static_cast<std::int64_t>(kinds_.size()) - 1))];
    choices.target = random_();
    choices.count = static_cast<std::uint64_t>(pick(1, 3));
    choices.isHolderPreferred = pick(0, 3) != 0;
    choices.flag = pick(0, 1) == 0;
    choices.isLong = pick(0, 3) == 0;
    choices.before = Milliseconds(pick(0, 600));
    choices.away = Milliseconds(choices.isLong ? pick(500, 6000) : pick(20, 500));
    choices.after = Milliseconds(pick(0, 700));
    choices.pause = Milliseconds(pick(300, 6000));
    constexpr std::array<std::int64_t, 4> steps {0, 0, 3000, 20'000};
    choices.stepBack = Milliseconds(steps[static_cast<std::size_t>(pick(0, 3))]);
    choices.option = random_();
    if (repetitions_ > 0 && repeated_) {
        --repetitions_;
        choices.kind = repeated_->kind;
        choices.target = repeated_->target;
        choices.isHolderPreferred = repeated_->isHolderPreferred;
    } else if (pick(0, 4) == 0) {
        repeated_ = choices;
        repetitions_ = pick(1, 3);
    }
    if (hasLongCuts_ && choices.kind == 'x') {
        choices.count = 1;
        choices.away = Milliseconds(pick(shortestLongCut.count(), longestLongCut.count()));
    }
    return choices;
}

void SoakTroubles::beginNext(Milliseconds until)
{
    const Choices choices = choose();
    begin(choices);
    const Milliseconds next = soakNow() + Milliseconds(pick(100, 2500));
    if (next < until)
        at(next, [this, until] { beginNext(until); });
}

void SoakTroubles::begin(const Choices &choices)
{
    constexpr std::string_view workerKinds = "rcxdew";
    constexpr std::string_view instanceKinds = "ktzhn";
    if (workerKinds.find(choices.kind) != workerKinds.npos)
        troubleWorkers(choices);
    else if (instanceKinds.find(choices.kind) != instanceKinds.npos)
        troubleInstance(choices);
    else if (choices.kind == 'o')
        cutPower(choices);
    else if (choices.kind == 'm')
        partitionHolder(choices);
    else
        troubleStore(choices);
}

void SoakTroubles::troubleWorkers(const Choices &choices)
{
    for (std::uint64_t i = 0; i < choices.count; ++i) {
        SoakWorker &worker = *fleet_.workers()[(choices.target + i * 3) % fleet_.workers().size()];
        const Milliseconds length = choices.before + choices.away + choices.after;
        if (!claim(worker.id().value(), length, fmt::format("worker: {}", choices.kind)))
            continue;
        if (choices.kind == 'w') {
            dismissWorker(worker, choices);
        } else if (choices.kind == 'd') {
            worker.setOrderDelay(choices.away, false);
            at(soakNow() + length, [this, &worker] {
                worker.setOrderDelay(Milliseconds(0), false);
                release(worker.id().value());
            });
        } else if (choices.kind == 'x') {
            cutWorker(worker, choices);
        } else {
            restartWorker(worker, choices);
        }
    }
}

void SoakTroubles::dismissWorker(SoakWorker &worker, const Choices &choices)
{
    const std::string name = worker.id().value();
    const Milliseconds remaining = choices.pause;
    worker.announceLeaving(remaining);
    at(soakNow() + remaining + choices.before, [this, &worker, name] {
        worker.crash();
        fleet_.store().remove("servers/" + name);
    });
    const WorkerId next(fmt::format("i-{:08x}", 0x7e000000 + ++lastReplacement_));
    at(soakNow() + remaining + choices.before + choices.away, [this, &worker, name, next] {
        worker.replace(next);
        release(name);
    });
}

void SoakTroubles::cutWorker(SoakWorker &worker, const Choices &choices)
{
    worker.setCut(true, choices.flag);
    at(soakNow() + choices.before + choices.away + choices.after, [this, &worker] {
        worker.setCut(false, false);
        release(worker.id().value());
    });
}

void SoakTroubles::restartWorker(SoakWorker &worker, const Choices &choices)
{
    const bool isCut = choices.kind == 'r';
    Milliseconds time = soakNow();
    if (isCut) {
        worker.setCut(true, choices.flag);
        time += choices.before;
    }
    if (choices.kind == 'e') {
        worker.setOrderDelay(choices.before + choices.away + choices.after, true);
        time += choices.before;
    }
    at(time, [this, &worker, isEntryRemoved = choices.option % 3 == 0] {
        worker.crash();
        if (isEntryRemoved)
            fleet_.store().remove("servers/" + worker.id().value());
    });
    time += choices.away;
    at(time, [&worker, stepBack = choices.stepBack] { worker.restart(stepBack); });
    if (choices.kind != 'c')
        time += choices.after;
    at(time, [this, &worker, isCut] {
        worker.setOrderDelay(Milliseconds(0), false);
        if (isCut)
            worker.setCut(false, false);
        release(worker.id().value());
    });
}

void SoakTroubles::troubleInstance(const Choices &choices)
{
    SoakInstance &instance = *fleet_.instances()[pickInstance(choices)];
    const std::string name = instance.place().value();
    const Milliseconds away = choices.kind == 'z' ? choices.pause : choices.away + Milliseconds(10);
    const Milliseconds length = choices.kind == 't' ? shutdownBound + away : away;
    if (!claim(name, length,
               fmt::format("instance: {} for {} ms{}", choices.kind, away.count(),
                           instance.openTerm() ? ", with an open term" : "")))
        return;
    const auto end = [this, name](Milliseconds time) {
        at(time + recovery, [this, name] { release(name); });
    };
    switch (choices.kind) {
    case 'k':
        instance.kill();
        at(soakNow() + away, [&instance] { instance.start(); });
        end(soakNow() + away);
        break;
    case 't':
        terminate(instance, away);
        break;
    case 'n':
        instance.kill();
        replaceInstance(instance, away);
        end(soakNow() + away);
        break;
    case 'z':
        instance.signal(SIGSTOP);
        at(soakNow() + away, [&instance] { instance.signal(SIGCONT); });
        end(soakNow() + away);
        break;
    default:
        instance.signal(SIGHUP);
        end(soakNow());
    }
}

void SoakTroubles::replaceInstance(SoakInstance &instance, Milliseconds away)
{
    const InstanceId next(fmt::format("edge-{}", 100 + ++lastReplacement_));
    at(soakNow() + away, [&instance, next] { instance.replace(next); });
}

/// Instances and workers that are disturbed already are left alone.
void SoakTroubles::cutPower(const Choices &choices)
{
    const Milliseconds back = soakNow() + choices.away;
    for (const auto &instance : fleet_.instances()) {
        const std::string name = instance->place().value();
        if (!claim(name, choices.away, "instance: loses power"))
            continue;
        instance->kill();
        at(back, [&instance = *instance] { instance.start(); });
        at(back + recovery, [this, name] { release(name); });
    }
    for (std::size_t i = 0; i < fleet_.workers().size(); ++i) {
        SoakWorker &worker = *fleet_.workers()[i];
        const bool isHit = choices.flag || (i + choices.target) % 3 == 0;
        if (!isHit || !claim(worker.id().value(), choices.away, "worker: loses power"))
            continue;
        worker.crash();
        at(back + choices.after, [this, &worker] {
            worker.restart(Milliseconds(0));
            release(worker.id().value());
        });
    }
}

/// The instances still reach each other: a holder sends nothing to a former one.
void SoakTroubles::partitionHolder(const Choices &choices)
{
    Choices ofHolder = choices;
    ofHolder.isHolderPreferred = true;
    const std::size_t index = pickInstance(ofHolder);
    SoakInstance &holder = *fleet_.instances()[index];
    const std::optional<SoakInstance::Term> term = holder.openTerm();
    const std::string name = holder.place().value();
    const Milliseconds length = shortestPartition + choices.pause / 2;
    const std::string what = fmt::format("partitioned for {} ms", length.count());
    if (!term || claimed_.contains(storeTarget) || !claim(name, length, what))
        return;
    claim(storeTarget, length, what);
    for (std::size_t i = 0; i < fleet_.workers().size(); ++i)
        fleet_.workers()[i]->cutFromHolder(term->token, (i + choices.target) % 2 == 0);
    at(soakNow() + choices.before * 2,
       [this, index] { fleet_.store().setRefusal(static_cast<int>(index), SoakRefusal::Silence); });
    at(soakNow() + length, [this, index] {
        fleet_.store().setRefusal(static_cast<int>(index), SoakRefusal::None);
        for (const auto &worker : fleet_.workers())
            worker->healCutFromHolder();
        release(storeTarget);
    });
    at(soakNow() + length + recovery, [this, name] { release(name); });
}

void SoakTroubles::terminate(SoakInstance &instance, Milliseconds away)
{
    instance.signal(SIGTERM);
    awaitExit(instance, soakNow() + shutdownBound, away);
}

void SoakTroubles::awaitExit(SoakInstance &instance, Milliseconds until, Milliseconds away)
{
    if (instance.isRunning() && soakNow() < until) {
        at(soakNow() + exitPollInterval,
           [this, &instance, until, away] { awaitExit(instance, until, away); });
        return;
    }
    instance.kill();
    at(soakNow() + away, [&instance] { instance.start(); });
    at(soakNow() + away + recovery, [this, &instance] { release(instance.place().value()); });
}

void SoakTroubles::troubleStore(const Choices &choices)
{
    SoakStore &store = fleet_.store();
    const Milliseconds length = choices.away + choices.before;
    if (!claim(storeTarget, length,
               fmt::format("store: {} for {} ms, option {}", choices.kind, length.count(),
                           choices.option % 4)))
        return;
    const auto end = [this, length](Action action) {
        at(soakNow() + length, [this, action = std::move(action)] {
            action();
            release(storeTarget);
        });
    };
    switch (choices.kind) {
    case 'g':
        store.forgetHistory();
        end([] {});
        break;
    case 'p':
        store.setDown(true, choices.flag);
        end([&store] { store.setDown(false, false); });
        break;
    case 'l':
        store.setLosingAnswers(true);
        end([&store] { store.setLosingAnswers(false); });
        break;
    case 's':
        store.setAnswerDelay(Milliseconds(20 + static_cast<std::int64_t>(choices.option % 1500)));
        end([&store] { store.setAnswerDelay(Milliseconds(0)); });
        break;
    default: {
        constexpr std::array kinds {SoakRefusal::Unavailable, SoakRefusal::TooMany,
                                    SoakRefusal::Reset, SoakRefusal::Silence};
        const int instance = static_cast<int>(pickInstance(choices));
        store.setRefusal(instance, kinds[choices.option % kinds.size()]);
        end([&store, instance] { store.setRefusal(instance, SoakRefusal::None); });
    }
    }
}

std::size_t SoakTroubles::pickInstance(const Choices &choices)
{
    auto &instances = fleet_.instances();
    // Only the latest of the open terms is in force.
    const auto holder = std::ranges::max_element(
            instances, {}, [](const auto &instance) { return instance->openTerm(); });
    if (choices.isHolderPreferred && (*holder)->openTerm())
        return static_cast<std::size_t>(holder - instances.begin());
    return choices.target % instances.size();
}

bool SoakTroubles::claim(const std::string &target, Milliseconds length, const std::string &what)
{
    if (!claimed_.insert(target).second)
        return false;
    journal_.write("trouble: " + target + " " + what);
    journal_.addDisturbance(target, soakNow(), soakNow() + length);
    return true;
}

void SoakTroubles::release(const std::string &target)
{
    claimed_.erase(target);
    journal_.write("trouble: " + target + " ends");
}

void SoakTroubles::at(Milliseconds time, Action action)
{
    actions_.emplace(time, std::move(action));
}

} // namespace caraway::tests
