#include "Decisions/TakeoverRecord.h"

namespace caraway {

namespace {

/// How long after a takeover the entries take to learn of it and submit attached jobs again.
constexpr Milliseconds resubmissionTime(3000);

} // namespace

void TakeoverRecord::begin(TimePoint now)
{
    *this = {};
    begunAt_ = now;
}

void TakeoverRecord::noteLostInventory(TimePoint until)
{
    lostInventory_ = true;
    lostUntil_ = until;
}

bool TakeoverRecord::isResubmissionOver(TimePoint now) const
{
    return now - begunAt_ >= resubmissionTime;
}

Task::Event TakeoverRecord::submissionEvent(TimePoint now, bool isFirst, bool hasUnreadWorker) const
{
    if (isFirst)
        return Task::Event::Submitted;
    if (hasUnreadWorker)
        return Task::Event::HeldBack;
    return now < lostUntil_ ? Task::Event::InventoriesLost : Task::Event::Submitted;
}

Task::Event TakeoverRecord::readingEndedEvent() const
{
    return lostInventory_ ? Task::Event::InventoriesLost : Task::Event::InventoriesRead;
}

} // namespace caraway
