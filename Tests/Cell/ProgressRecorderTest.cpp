#include "Cell/ProgressRecorder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

using namespace cell;

class ProgressRecorderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProgressRecorderTest);
    CPPUNIT_TEST(commit_behindTheProgressOfManyJobs_containsAResultFirst);
    CPPUNIT_TEST(commit_besideManyResults_containsProgressToo);
    CPPUNIT_TEST(commits_ofAJobThatChangedBeforeItFinished_containItOnce);
    CPPUNIT_TEST(commit_ofAResultWithoutProgress_deletesOnlyTheJob);
    CPPUNIT_TEST(commits_ofManyJobs_areSentWithoutWaitingForEachOther);
    CPPUNIT_TEST(commits_ofFewJobs_followEachOther);
    CPPUNIT_TEST(commits_inFlight_containNoJobTwice);
    CPPUNIT_TEST(commit_ofAJobThatChangesInFlight_isFollowedByAnother);
    CPPUNIT_TEST(commit_unansweredBesideOthers_isRetriedInItsOwnSequence);
    CPPUNIT_TEST(commit_carriedOutWithoutAnAnswer_isNotSentForAThirdTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        context_.setTime(TimePoint(Milliseconds(1000)), WallTime());
        recorder_.startTerm({{RecordType::Holder, {}}, Revision(1)}, {Revision(2)});
    }

    void commit_behindTheProgressOfManyJobs_containsAResultFirst()
    {
        changeJobs(100);
        finish("last");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(nextCommit(), RecordType::Results));
    }

    void commit_besideManyResults_containsProgressToo()
    {
        changeJobs(100);
        for (int i = 0; i < 100; ++i)
            finish("finished-" + std::to_string(i));
        const StoreCommit commit = nextCommit();
        CPPUNIT_ASSERT_GREATER(std::size_t(3), count(commit, RecordType::Results));
        CPPUNIT_ASSERT_GREATER(std::size_t(3), count(commit, RecordType::Progress));
        CPPUNIT_ASSERT_LESSEQUAL(std::size_t(32), commit.entries());
    }

    void commits_ofAJobThatChangedBeforeItFinished_containItOnce()
    {
        changeJobs(3);
        finish("job-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), recorder_.unrecordedJobs());
        const StoreCommit commit = nextCommit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(commit, RecordType::Results));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), count(commit, RecordType::Progress));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), recorder_.unrecordedJobs());
    }

    void commit_ofAResultWithoutProgress_deletesOnlyTheJob()
    {
        finish("job");
        const StoreCommit commit = nextCommit();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), commit.deletes.size());
        CPPUNIT_ASSERT(commit.deletes.front().type == RecordType::Jobs);
    }

    /// Guards against results that wait for as many round trips as there are commits before them.
    void commits_ofManyJobs_areSentWithoutWaitingForEachOther()
    {
        changeJobs(200);
        std::set<RecordKey> sequences;
        for (std::size_t i = 0; i < ProgressRecorder::sequences; ++i)
            sequences.insert(nextCommit().preconditions.at(1).key);
        CPPUNIT_ASSERT_EQUAL(ProgressRecorder::sequences, sequences.size());
        CPPUNIT_ASSERT(!hasNextCommit());
    }

    void commits_ofFewJobs_followEachOther()
    {
        changeJobs(3);
        nextCommit();
        recorder_.markChanged(JobId("job-1"));
        recorder_.markChanged(JobId("other"));
        advance();
        CPPUNIT_ASSERT(!hasNextCommit());
    }

    void commits_inFlight_containNoJobTwice()
    {
        changeJobs(100);
        std::set<std::string> seen = namesIn(nextCommit());
        changeJobs(100);
        for (int i = 0; i < 3; ++i) {
            for (const std::string &name : namesIn(nextCommit()))
                CPPUNIT_ASSERT_MESSAGE(name, seen.insert(name).second);
        }
    }

    void commit_ofAJobThatChangesInFlight_isFollowedByAnother()
    {
        changeJobs(1);
        nextCommit();
        changeJobs(1);
        answer({StoreOutcome::Done, {}, false, Revision(3), {}});
        advance();
        const StoreCommit next = nextCommit();
        CPPUNIT_ASSERT(namesIn(next) == std::set<std::string> {"job-0"});
        CPPUNIT_ASSERT(next.preconditions.at(1).revision == Revision(3));
    }

    /// Guards against a commit that is taken for failed, or is carried out twice.
    void commit_unansweredBesideOthers_isRetriedInItsOwnSequence()
    {
        changeJobs(100);
        const StoreCommit first = nextCommit();
        const CallId firstCall = lastCall_;
        const StoreCommit second = nextCommit();
        answer({StoreOutcome::Done, {}, false, Revision(7), {}});
        lastCall_ = firstCall;
        answer({StoreOutcome::Unanswered, {}, false, {}, {}});
        while (hasNextCommit())
            ;
        context_.setTime(context_.now() + Milliseconds(5000), WallTime());
        const StoreCommit retried = nextCommit();
        CPPUNIT_ASSERT(retried.preconditions.at(1).key == first.preconditions.at(1).key);
        CPPUNIT_ASSERT(retried.preconditions.at(1).revision == Revision(2));
        CPPUNIT_ASSERT(namesIn(retried) == namesIn(first));
    }

    void commit_carriedOutWithoutAnAnswer_isNotSentForAThirdTime()
    {
        changeJobs(1);
        const StoreCommit first = nextCommit();
        answer({StoreOutcome::Unanswered, {}, false, {}, {}});
        context_.setTime(context_.now() + Milliseconds(5000), WallTime());
        nextCommit();
        StoreItem item;
        item.key = first.preconditions.at(1).key;
        item.value = first.writes.front().value;
        item.revision = Revision(9);
        answer({StoreOutcome::Conflict, {item}, false, {}, {}});
        context_.setTime(context_.now() + Milliseconds(5000), WallTime());
        CPPUNIT_ASSERT(!hasNextCommit());
        changeJobs(1);
        CPPUNIT_ASSERT(nextCommit().preconditions.at(1).revision == Revision(9));
    }

private:
    ProgressRecorder::Handlers handlers()
    {
        ProgressRecorder::Handlers handlers;
        handlers.snapshot = [this](const JobId &id) {
            ProgressRecorder::Snapshot snapshot {JobProgress(), false, false};
            if (finished_.contains(id))
                snapshot.value = JobResult();
            return snapshot;
        };
        handlers.startLogWrite = []() -> std::optional<StoreWrite> { return std::nullopt; };
        handlers.isStartLogDue = [] { return false; };
        handlers.completionRecorded = [](const ProgressRecorder::RecordedCompletion &) {};
        handlers.resultRecorded = [](const JobId &, JobState) {};
        return handlers;
    }

    void changeJobs(int jobs)
    {
        for (int i = 0; i < jobs; ++i)
            recorder_.markChanged(JobId("job-" + std::to_string(i)));
    }

    void finish(const std::string &job)
    {
        finished_.insert(JobId(job));
        recorder_.markFinished(JobId(job));
    }

    StoreCommit nextCommit()
    {
        recorder_.tick();
        const CellActions actions = context_.takeActions();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.store.size());
        lastCall_ = actions.store.front().id;
        return std::get<StoreCommit>(actions.store.front().request);
    }

    bool hasNextCommit()
    {
        recorder_.tick();
        return !context_.takeActions().store.empty();
    }

    void answer(const StoreReply &reply) { context_.complete(lastCall_, reply); }
    void advance() { context_.setTime(context_.now() + Milliseconds(40), WallTime()); }

    static std::set<std::string> namesIn(const StoreCommit &commit)
    {
        std::set<std::string> names;
        for (const StoreWrite &write : commit.writes) {
            if (write.key.type == RecordType::Progress)
                names.insert(write.key.name);
        }
        return names;
    }

    static std::size_t count(const StoreCommit &commit, RecordType type)
    {
        return static_cast<std::size_t>(
                std::count_if(commit.writes.begin(), commit.writes.end(),
                              [&](const StoreWrite &write) { return write.key.type == type; }));
    }

    CallId lastCall_;
    CellContext context_ {CellSettings(), ProcessId()};
    std::set<JobId> finished_;
    ProgressRecorder recorder_ {context_, handlers()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressRecorderTest);

} // namespace caraway::tests
