#include "Decisions/PresetChange.h"

#include <fmt/format.h>

namespace caraway {

namespace {

constexpr Milliseconds retryInterval(200);

} // namespace

const BoundChart<PresetChange> &PresetChange::chart()
{
    static const BoundChart<PresetChange> bound = BoundChart<PresetChange> {
            "PresetChange.scxml",
            {"open", "writing", "reading", "waiting", "accepted", "rejected", "unresolved"},
            {"written", "conflicted", "unanswered", "changeFound", "otherChangeFound",
             "noChangeFound", "retryDue", "deadlinePassed"},
            {},
            {{"sendWrite", &PresetChange::sendWrite},
             {"sendRead", &PresetChange::sendRead}}}.loadedOrAbort();
    return bound;
}

PresetChange::PresetChange(RequestId request, PresetInForce next, TimePoint deadline)
    : request_(request)
    , next_(std::move(next))
    , deadline_(deadline)
{
}

void PresetChange::onWritten(TimePoint now, const PresetInForceWritten &written)
{
    lastReplyAt_ = now;
    if (written.outcome == StoreOutcome::Done)
        latestRecord_ = written.inForce;
    constexpr Event events[] = {Event::Written, Event::Conflicted, Event::Unanswered};
    lifecycle_.handle(*this, events[static_cast<std::size_t>(written.outcome)]);
}

void PresetChange::onRead(TimePoint now, const PresetInForceRead &read)
{
    lastReplyAt_ = now;
    if (read.outcome != StoreOutcome::Done) {
        lifecycle_.handle(*this, Event::Unanswered);
        return;
    }
    latestRecord_ = read.inForce;
    const Revision revision = latestRecord_ ? latestRecord_->revision : Revision();
    if (latestRecord_ && latestRecord_->contains(id()))
        lifecycle_.handle(*this, Event::ChangeFound);
    else if (revision == next_.revision)
        lifecycle_.handle(*this, Event::NoChangeFound);
    else
        lifecycle_.handle(*this, Event::OtherChangeFound);
}

void PresetChange::onTick(TimePoint now)
{
    if (now >= deadline_)
        lifecycle_.handle(*this, Event::DeadlinePassed);
    if (now - lastReplyAt_ >= retryInterval)
        lifecycle_.handle(*this, Event::RetryDue);
}

AnswerCaller PresetChange::answer() const
{
    if (isAccepted())
        return {request_, *latestRecord_};
    if (lifecycle_.isIn(State::Unresolved)) {
        return {request_,
                Error {ErrorKind::OutcomeUnknown,
                       "The store did not answer, so the change may be in force. Look at "
                       "`preset show` before you repeat it."}};
    }
    const AuditRecord other = latestRecord_ ? latestRecord_->change : AuditRecord();
    return {request_,
            Error {ErrorKind::Conflict,
                   fmt::format(
                           "{} put preset {} in force first. Look at `preset show`, then decide "
                           "again.",
                           other.who.value(), other.to.value())}};
}

void PresetChange::drainActions(Actions &actions)
{
    moveActions(actions_, actions);
}

void PresetChange::sendWrite()
{
    actions_.push_back(CallConfiguration {WritePresetInForce {next_}});
}

void PresetChange::sendRead()
{
    actions_.push_back(CallConfiguration {ReadPresetInForce {id()}});
}

} // namespace caraway
