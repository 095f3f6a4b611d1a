#include "Decisions/TakeoverState.h"

namespace caraway {

namespace {

/// The time after a takeover in which entry instances notice it and resubmit attached jobs.
constexpr Milliseconds resubmissionWindow(3000);

} // namespace

void TakeoverState::start(TimePoint now)
{
    *this = {};
    startedAt_ = now;
}

void TakeoverState::markInventoryLost(TimePoint until)
{
    inventoryLost_ = true;
    inventoryLostUntil_ = until;
}

bool TakeoverState::hasResubmissionWindowEnded(TimePoint now) const
{
    return now - startedAt_ >= resubmissionWindow;
}

Task::Event TakeoverState::submissionEvent(TimePoint now, bool isFirst, bool hasUnreadWorker) const
{
    if (isFirst)
        return Task::Event::Submitted;
    if (hasUnreadWorker)
        return Task::Event::Deferred;
    return now < inventoryLostUntil_ ? Task::Event::InventoryLost : Task::Event::Submitted;
}

Task::Event TakeoverState::inventoryEvent() const
{
    return inventoryLost_ ? Task::Event::InventoryLost : Task::Event::InventoriesRead;
}

} // namespace caraway
