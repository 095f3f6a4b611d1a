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
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        context_.setTime(TimePoint(Milliseconds(1000)), WallTime());
        recorder_.startTerm({{RecordType::Holder, {}}, Revision(1)}, Revision(2));
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
        return std::get<StoreCommit>(actions.store.front().request);
    }

    static std::size_t count(const StoreCommit &commit, RecordType type)
    {
        return static_cast<std::size_t>(
                std::count_if(commit.writes.begin(), commit.writes.end(),
                              [&](const StoreWrite &write) { return write.key.type == type; }));
    }

    CellContext context_ {CellSettings(), ProcessId()};
    std::set<JobId> finished_;
    ProgressRecorder recorder_ {context_, handlers()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressRecorderTest);

} // namespace caraway::tests
