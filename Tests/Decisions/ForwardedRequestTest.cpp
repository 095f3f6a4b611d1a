#include "Decisions/ForwardedRequest.h"

#include <cppunit/extensions/HelperMacros.h>

namespace caraway::tests {

class ForwardedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardedRequestTest);
    CPPUNIT_TEST(tick_unansweredForInterval_sendsAgain);
    CPPUNIT_TEST(tick_deadlinePassedAfterSending_answersUnknown);
    CPPUNIT_TEST(tick_submissionUnsentAtDeadline_answersNotRun);
    CPPUNIT_TEST(tick_queryUnsentAtDeadline_answersUnknown);
    CPPUNIT_TEST(turnedAway_afterAnotherHolderWasSentIt_answersUnknown);
    CPPUNIT_TEST(send_toSecondHolder_isNotCalledFirst);
    CPPUNIT_TEST_SUITE_END();

    ForwardedRequest request_ {
            {ShardId("z"), RequestId(1), HolderQuery {JobName("j"), Milliseconds()}},
            JobName("j"),
            at(5000)};

    static TimePoint at(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

    Actions take()
    {
        Actions actions;
        request_.drainActions(actions);
        return actions;
    }

    static JobState answeredState(const Actions &actions)
    {
        return std::get<JobReport>(std::get<AnswerCaller>(actions.at(0)).body).state;
    }

    void tick_unansweredForInterval_sendsAgain()
    {
        request_.onHolder(at(1000), InstanceId("a"), Epoch(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take().size());
        request_.onTick(at(2900));
        CPPUNIT_ASSERT(take().empty());
        request_.onTick(at(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), take().size());
    }

    void tick_deadlinePassedAfterSending_answersUnknown()
    {
        request_.onHolder(at(4900), InstanceId("a"), Epoch(1));
        take();
        request_.onTick(at(5000));
        CPPUNIT_ASSERT(answeredState(take()) == JobState::Unknown);
    }

    static ForwardedRequest makeSubmission()
    {
        return {{ShardId("z"), RequestId(1), HolderSubmit {{}, Milliseconds(), true}},
                JobName("j"),
                at(5000)};
    }

    void tick_submissionUnsentAtDeadline_answersNotRun()
    {
        request_ = makeSubmission();
        request_.onTick(at(5000));
        CPPUNIT_ASSERT(answeredState(take()) == JobState::NotRun);
    }

    void tick_queryUnsentAtDeadline_answersUnknown()
    {
        request_.onTick(at(5000));
        CPPUNIT_ASSERT(answeredState(take()) == JobState::Unknown);
    }

    void turnedAway_afterAnotherHolderWasSentIt_answersUnknown()
    {
        request_ = makeSubmission();
        request_.onHolder(at(1000), InstanceId("a"), Epoch(1));
        request_.onHolder(at(1000), InstanceId("b"), Epoch(2));
        request_.onReply({RequestId(1), true, {}});
        take();
        request_.onTick(at(5000));
        CPPUNIT_ASSERT(answeredState(take()) == JobState::Unknown);
    }

    void send_toSecondHolder_isNotCalledFirst()
    {
        const auto isFirst = [](const Action &action) {
            const auto &message = std::get<SendToPeer>(action).message;
            return std::get<HolderSubmit>(std::get<HolderRequest>(message).body).isFirst;
        };
        request_ = makeSubmission();
        request_.onHolder(at(1000), InstanceId("a"), Epoch(1));
        CPPUNIT_ASSERT(isFirst(take().at(0)));
        request_.onHolder(at(1000), InstanceId("b"), Epoch(2));
        CPPUNIT_ASSERT(!isFirst(take().at(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedRequestTest);

} // namespace caraway::tests
