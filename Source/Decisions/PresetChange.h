#pragma once

#include "Core/Clock.h"
#include "Core/Lifecycle.h"
#include "Decisions/Actions.h"

#include <optional>

namespace caraway {

/// One operator's change of the preset in force. A lost answer is settled by reading the
/// record back and looking for the change's id.
class PresetChange
{
public:
    enum class State { Open, Writing, Reading, Waiting, Accepted, Lost, Uncertain };
    enum class Event {
        Written,
        Conflicted,
        Unanswered,
        FoundOurs,
        FoundOther,
        FoundUnchanged,
        RetryDue,
        DeadlinePassed,
    };
    static const BoundChart<PresetChange> &chart();

    PresetChange(RequestId request, PresetInForce next, TimePoint deadline);

    /// Sends the first write.
    void start() { machine_.start(*this); }
    void onWritten(TimePoint now, const PresetInForceWritten &written);
    void onRead(TimePoint now, const PresetInForceRead &read);
    void onTick(TimePoint now);

    bool isOpen() const { return machine_.isIn(State::Open); }
    bool isAccepted() const { return machine_.isIn(State::Accepted); }
    const ChangeId &id() const { return next_.change.id; }
    /// The record that the store showed last, with this change or the one that came first.
    const std::optional<PresetInForce> &seen() const { return seen_; }
    /// What the operator is told, once the change is not open.
    AnswerCaller answer() const;
    void drainActions(Actions &actions);

private:
    void sendWrite();
    void sendRead();

    RequestId request_;
    PresetInForce next_;
    std::optional<PresetInForce> seen_;
    TimePoint deadline_;
    TimePoint lastTry_;
    Lifecycle<PresetChange> machine_;
    Actions actions_;
};

} // namespace caraway
