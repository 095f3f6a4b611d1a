#include "Cell/PassOptions.h"
#include "Cell/CellJob.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>
#include <map>
#include <random>
#include <set>

namespace caraway::tests {

using namespace cell;

/// Compares the indexes of a scheduling pass with plain models that look at everything.
class PassOptionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PassOptionsTest);
    CPPUNIT_TEST(eligible_onDrawnFleets_isWhatASearchOfAllFinds);
    CPPUNIT_TEST(find_onDrawnFleets_isTheWorkerOfTheNumber);
    CPPUNIT_TEST(mayFit_onDrawnNeeds_neverExcludesOneThatFits);
    CPPUNIT_TEST(mayFit_afterASmallerNeedWasTooLarge_isFalse);
    CPPUNIT_TEST(containsAny_onDrawnNeeds_isWhatASearchOfAllFinds);
    CPPUNIT_TEST(containsAny_ofTheSameNeedAgain_looksAtOneWorker);
    CPPUNIT_TEST(visitAvailable_whileMoreIsEarmarked_isOfEachWorkerWithAvailableOnce);
    CPPUNIT_TEST(visitAvailable_afterAnother_beginsWithTheNextWorker);
    CPPUNIT_TEST(approvedWorkers_afterDrawnDecisions_areThoseOfAPlainTable);
    CPPUNIT_TEST(counts_afterDrawnEvents_areThoseOfACount);
    CPPUNIT_TEST_SUITE_END();

public:
    void eligible_onDrawnFleets_isWhatASearchOfAllFinds()
    {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            Fleet fleet(seed);
            for (const char *upstream : upstreams) {
                for (const char *label : labels) {
                    const UpstreamId upstreamId(upstream);
                    const Label required(label);
                    const EligibleWorkers &eligible = fleet.options.eligible(upstreamId, required);
                    std::size_t found = 0;
                    for (const WorkerOption &option : fleet.options.all()) {
                        const bool expected
                                = PassOptions::isEligible(*option.worker, upstreamId, required);
                        CPPUNIT_ASSERT_EQUAL(expected, eligible.contains(option));
                        if (expected)
                            CPPUNIT_ASSERT(eligible.options().at(found++) == &option);
                    }
                    CPPUNIT_ASSERT_EQUAL(found, eligible.options().size());
                }
            }
        }
    }

    void find_onDrawnFleets_isTheWorkerOfTheNumber()
    {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            Fleet fleet(seed);
            for (const CellWorker &worker : fleet.workers)
                CPPUNIT_ASSERT(fleet.options.find(worker.number())->worker == &worker);
            CPPUNIT_ASSERT(!fleet.options.find(WorkerNumber(unusedNumber)));
            CPPUNIT_ASSERT(!fleet.options.find(WorkerNumber(beyondAllNumbers)));
        }
    }

    void mayFit_onDrawnNeeds_neverExcludesOneThatFits()
    {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            Fleet fleet(seed);
            std::mt19937_64 random(seed);
            EligibleWorkers &eligible = fleet.options.eligible(UpstreamId(upstreams[0]), Label());
            for (std::size_t i = 0; i < needsPerRound; ++i) {
                const Resources need = drawResources(random);
                bool fits = false;
                for (const WorkerOption *option : eligible.options())
                    fits = fits || need.fitsIn(option->free);
                CPPUNIT_ASSERT(eligible.unmetByFree.mayFit(need) || !fits);
                if (!fits)
                    eligible.unmetByFree.add(need);
            }
        }
    }

    void mayFit_afterASmallerNeedWasTooLarge_isFalse()
    {
        UnmetNeeds unmet;
        Resources need;
        need.memory = Bytes(2);
        unmet.add(need);
        CPPUNIT_ASSERT(!unmet.mayFit(need));
        need.processors = Millicores(1);
        CPPUNIT_ASSERT(!unmet.mayFit(need));
        need.memory = Bytes(1);
        CPPUNIT_ASSERT(unmet.mayFit(need));
    }

    void containsAny_onDrawnNeeds_isWhatASearchOfAllFinds()
    {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            Fleet fleet(seed);
            std::mt19937_64 random(seed);
            EligibleWorkers &eligible = fleet.options.eligible(UpstreamId(upstreams[0]), Label());
            for (std::size_t i = 0; i < needsPerRound; ++i) {
                const Resources need = drawResources(random);
                bool fits = false;
                for (const WorkerOption *option : eligible.options())
                    fits = fits || need.fitsIn(option->free);
                CPPUNIT_ASSERT_EQUAL(fits, eligible.containsAny([&](const WorkerOption &option) {
                    return need.fitsIn(option.free);
                }));
            }
        }
    }

    void containsAny_ofTheSameNeedAgain_looksAtOneWorker()
    {
        constexpr std::size_t workers = 3;
        WorkerOption options[workers];
        EligibleWorkers eligible(workers);
        for (std::size_t i = 0; i < workers; ++i) {
            options[i].position = i;
            eligible.add(options[i]);
        }
        std::size_t looked = 0;
        const auto isLast = [&](const WorkerOption &option) {
            ++looked;
            return option.position == workers - 1;
        };
        CPPUNIT_ASSERT(eligible.containsAny(isLast));
        CPPUNIT_ASSERT_EQUAL(workers, looked);
        CPPUNIT_ASSERT(eligible.containsAny(isLast));
        CPPUNIT_ASSERT_EQUAL(workers + 1, looked);
    }

    void visitAvailable_whileMoreIsEarmarked_isOfEachWorkerWithAvailableOnce()
    {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            Fleet fleet(seed);
            std::mt19937_64 random(seed);
            EligibleWorkers &eligible = fleet.options.eligible(UpstreamId(upstreams[0]), Label());
            for (std::size_t i = 0; i < needsPerRound; ++i) {
                std::set<const WorkerOption *> expected;
                for (const WorkerOption *option : eligible.options()) {
                    if (option->hasAvailableProcessors())
                        expected.insert(option);
                }
                eligible.visitAvailable([&](WorkerOption &option) {
                    CPPUNIT_ASSERT_EQUAL(std::size_t(1), expected.erase(&option));
                    option.earmarked += drawResources(random);
                    return true;
                });
                CPPUNIT_ASSERT(expected.empty());
            }
        }
    }

    void visitAvailable_afterAnother_beginsWithTheNextWorker()
    {
        WorkerOption options[2];
        EligibleWorkers eligible(std::size(options));
        for (std::size_t i = 0; i < std::size(options); ++i) {
            options[i].position = i;
            options[i].free.processors = Millicores(1);
            eligible.add(options[i]);
        }
        std::vector<std::size_t> visited;
        for (int i = 0; i < 3; ++i) {
            eligible.visitAvailable([&](const WorkerOption &option) {
                visited.push_back(option.position);
                return false;
            });
        }
        CPPUNIT_ASSERT(visited == (std::vector<std::size_t> {0, 1, 0}));
    }

    void approvedWorkers_afterDrawnDecisions_areThoseOfAPlainTable()
    {
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            std::mt19937_64 random(seed);
            StepApprovals approvals;
            std::map<std::uint64_t, std::int64_t> expiries;
            for (std::size_t i = 0; i < decisionsPerRound; ++i) {
                const std::uint64_t number = random() % decidedWorkers;
                const auto expiry = static_cast<std::int64_t>(random() % 100);
                const WorkerNumber worker(number);
                switch (random() % 4) {
                case 0:
                    approvals.deny(worker);
                    expiries.erase(number);
                    break;
                case 1:
                    approvals.clearDecision(worker);
                    expiries.erase(number);
                    break;
                default:
                    approvals.approve(worker, {std::to_string(expiry), at(expiry)});
                    expiries[number] = expiry;
                }
            }
            CPPUNIT_ASSERT_EQUAL(expiries.size(), approvals.approvedWorkers().size());
            auto listed = approvals.approvedWorkers().begin();
            for (const auto &[number, expiry] : expiries) {
                const WorkerNumber worker(number);
                CPPUNIT_ASSERT(listed->worker == worker);
                CPPUNIT_ASSERT((listed++)->ticket.validUntil == at(expiry));
                CPPUNIT_ASSERT(approvals.isApproved(worker));
                CPPUNIT_ASSERT(!approvals.validTicket(worker, at(expiry)));
                const auto *ticket = approvals.validTicket(worker, at(expiry - 1));
                CPPUNIT_ASSERT(ticket && ticket->text == std::to_string(expiry));
            }
            for (std::uint64_t number = 0; number < decidedWorkers; ++number)
                CPPUNIT_ASSERT_EQUAL(expiries.contains(number),
                                     approvals.isApproved(WorkerNumber(number)));
        }
    }

    void counts_afterDrawnEvents_areThoseOfACount()
    {
        constexpr std::uint64_t events = 9;
        constexpr std::int64_t tasks = 5;
        for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
            std::mt19937_64 random(seed);
            AcceptedJob accepted;
            accepted.spec.steps.resize(1);
            accepted.spec.steps.front().tasks = tasks;
            CellJob job(accepted, {}, at(0));
            CellStep &step = job.steps().front();
            for (std::size_t i = 0; i < decisionsPerRound; ++i) {
                CPPUNIT_ASSERT_EQUAL(step.countTasks(CellTask::State::Waiting),
                                     step.counts.waiting);
                CPPUNIT_ASSERT_EQUAL(step.countTasks(CellTask::State::OnWorker),
                                     step.counts.onWorkers);
                CellTask &task = step.tasks[random() % step.tasks.size()];
                task.handle(static_cast<CellTask::Event>(random() % events));
            }
        }
    }

private:
    static constexpr std::uint64_t rounds = 50;
    static constexpr std::size_t needsPerRound = 40;
    static constexpr std::size_t decisionsPerRound = 60;
    static constexpr std::uint64_t decidedWorkers = 20;
    static constexpr std::uint64_t unusedNumber = 0;
    static constexpr std::uint64_t beyondAllNumbers = 10'000;
    static constexpr const char *upstreams[] = {"one", "two"};
    static constexpr const char *labels[] = {"", "fast", "large"};

    static TimePoint at(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

    static Resources drawResources(std::mt19937_64 &random)
    {
        Resources drawn;
        drawn.processors = Millicores(static_cast<std::int64_t>(random() % 8));
        drawn.memory = Bytes(static_cast<std::int64_t>(random() % 8));
        drawn.accelerators = Accelerators(static_cast<std::int64_t>(random() % 3));
        return drawn;
    }

    /// Drawn workers with numbers that have gaps.
    struct Fleet
    {
        explicit Fleet(std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            WorkerNumber number(unusedNumber);
            for (std::uint64_t i = random() % 30; i > 0; --i) {
                number = WorkerNumber(number.value() + 1 + random() % 3);
                CellWorker &worker = workers.emplace_back(WorkerId(std::to_string(i)), number);
                worker.entry.emplace();
                worker.entry->upstream = UpstreamId(upstreams[random() % 2]);
                for (const char *label : labels) {
                    if (random() % 2 == 0)
                        worker.entry->labels.emplace_back(label);
                }
            }
            for (const CellWorker &worker : workers)
                options.add(worker).free = drawResources(random);
        }

        std::list<CellWorker> workers;
        PassOptions options;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassOptionsTest);

} // namespace caraway::tests
