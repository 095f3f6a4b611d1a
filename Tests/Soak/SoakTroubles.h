#pragma once

#include "Soak/SoakFleet.h"

#include <functional>
#include <random>

namespace caraway::tests {

/// Makes trouble of the given kinds, in series and overlapping, chosen by a seed. The seed repeats
/// the choices, not the moments at which the system notices them.
///
/// r, c  workers crash and start again under their ids; r: cut off from all meanwhile
/// x     workers are cut off
/// d, e  workers carry out orders late; e: after they have started again under their ids
/// w     workers leave as announced, and others take their place
/// k, t  an instance ends (SIGKILL, SIGTERM) and starts again
/// n     an instance ends for good, and another one takes its place
/// o     all instances end at once (SIGKILL) with a part of the workers, and start again
/// z, h  an instance is stopped for a while; is told to read its settings again
/// m     the holder and a part of the workers are cut off from the other instances and workers,
///       and then from the store
/// p, l, s, f, g  the store is down, loses answers, answers late, refuses one instance, forgets its
///                history
class SoakTroubles
{
public:
    static constexpr const char *allKinds = "rcxdewktzhnomplsfg";

    /// \a hasLongCuts: workers that are cut off lose their leases at times.
    SoakTroubles(SoakFleet &fleet, SoakJournal &journal, std::uint64_t seed, std::string kinds,
                 bool hasLongCuts = false);

    /// Makes trouble for \a duration; returns when all of it has ended.
    void run(Milliseconds duration);

private:
    /// All choices for one trouble, made before anything of it depends on the fleet.
    struct Choices
    {
        char kind = ' ';
        std::uint64_t target = 0;
        std::uint64_t count = 1;
        bool isHolderPreferred = false;
        bool flag = false;
        bool isLong = false;
        Milliseconds before;
        Milliseconds away;
        Milliseconds after;
        Milliseconds pause;
        Milliseconds stepBack;
        std::uint64_t option = 0;
    };
    using Action = std::function<void()>;

    std::int64_t pick(std::int64_t low, std::int64_t high);
    Choices choose();
    void begin(const Choices &choices);
    void beginNext(Milliseconds until);
    void troubleWorkers(const Choices &choices);
    void restartWorker(SoakWorker &worker, const Choices &choices);
    void cutWorker(SoakWorker &worker, const Choices &choices);
    void dismissWorker(SoakWorker &worker, const Choices &choices);
    void replaceInstance(SoakInstance &instance, Milliseconds away);
    void cutPower(const Choices &choices);
    void partitionHolder(const Choices &choices);
    void troubleInstance(const Choices &choices);
    void terminate(SoakInstance &instance, Milliseconds away);
    void awaitExit(SoakInstance &instance, Milliseconds until, Milliseconds away);
    void troubleStore(const Choices &choices);
    std::size_t pickInstance(const Choices &choices);
    /// Notes that \a target is disturbed; returns false if it is already.
    bool claim(const std::string &target, Milliseconds length, const std::string &what);
    void release(const std::string &target);
    void at(Milliseconds time, Action action);

    SoakFleet &fleet_;
    SoakJournal &journal_;
    std::mt19937_64 random_;
    std::string kinds_;
    bool hasLongCuts_;
    std::optional<Choices> repeated_;
    std::int64_t repetitions_ = 0;
    int lastReplacement_ = 0;
    std::set<std::string> claimed_;
    std::multimap<Milliseconds, Action> actions_;
};

} // namespace caraway::tests
