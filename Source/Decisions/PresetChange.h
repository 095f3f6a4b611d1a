#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"

#include <optional>

namespace caraway {

/// One operator's change of the preset in force. If a write's reply is lost, its outcome is
/// resolved by reading the record back and looking for the change's id.
class PresetChange
{
public:
    enum class State { Open, Writing, Reading, Waiting, Accepted, Rejected, Unresolved };
    enum class Event {
        Written,
        Conflicted,
        Unanswered,
        ChangeFound,
        OtherChangeFound,
        NoChangeFound,
        RetryDue,
        DeadlinePassed,
    };
    static const BoundChart<PresetChange> &chart();

    PresetChange(RequestId request, PresetInForce next, TimePoint deadline);

    /// Sends the first write.
    void start() { lifecycle_.start(*this); }
    void onWritten(TimePoint now, const PresetInForceWritten &written);
    void onRead(TimePoint now, const PresetInForceRead &read);
    void onTick(TimePoint now);

    bool isOpen() const { return lifecycle_.isIn(State::Open); }
    bool isAccepted() const { return lifecycle_.isIn(State::Accepted); }
    const ChangeId &id() const { return next_.change.id; }
    /// The record as last written or read: with this change if it was accepted, otherwise with the
    /// conflicting one.
    const std::optional<PresetInForce> &latestRecord() const { return latestRecord_; }
    /// The answer to the operator, once the change is no longer open.
    AnswerCaller answer() const;
    void drainActions(Actions &actions);

private:
    void sendWrite();
    void sendRead();

    RequestId request_;
    PresetInForce next_;
    std::optional<PresetInForce> latestRecord_;
    TimePoint deadline_;
    TimePoint lastReplyAt_;
    Lifecycle<PresetChange> lifecycle_;
    Actions actions_;
};

} // namespace caraway
