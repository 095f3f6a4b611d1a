#include "Decisions/PeerLink.h"

#include <utility>

namespace caraway {

namespace {

constexpr Milliseconds probeInterval(500);
/// After this time without an answer, a second connection is opened. It replaces the current one
/// if it opens before the current one answers, and is closed if the current one answers first.
constexpr Milliseconds unresponsiveAfter(1100);
/// After this time without an answer, the link counts as down.
constexpr Milliseconds timedOutAfter(4000);
constexpr Milliseconds firstRetryDelay(100);
constexpr Milliseconds maxRetryDelay(2000);
/// Unacknowledged frames older than this are dropped: their senders repeat them.
constexpr Milliseconds maxFrameAge(5000);
constexpr std::size_t maxUnacknowledgedBytes = 8 << 20;

} // namespace

const BoundChart<PeerLink> &PeerLink::chart()
{
    static const BoundChart<PeerLink> bound = BoundChart<PeerLink> {
            "PeerLink.scxml",
            {"down", "connecting", "waiting", "up", "responsive", "racing", "unresponsive"},
            {"newestOpened", "newestEnded", "currentEnded", "currentTimedOut",
             "currentUnresponsive", "currentAnswered", "retryDue"},
            {},
            {{"openConnection", &PeerLink::openConnection},
             {"scheduleRetry", &PeerLink::scheduleRetry},
             {"switchToNewest", &PeerLink::switchToNewest},
             {"closeNewest", &PeerLink::closeNewest},
             {"closeAll", &PeerLink::closeAll}}}.loadedOrAbort();
    return bound;
}

PeerLink::PeerLink(TimePoint now, std::uint64_t seed, ConnectionNumber &lastConnection)
    : lastConnection_(lastConnection)
    , backoff_(firstRetryDelay, maxRetryDelay, seed)
    , now_(now)
{
    lifecycle_.start(*this);
}

void PeerLink::sendReliable(TimePoint now, std::string frame)
{
    lastFrame_ = lastFrame_.next();
    unacknowledgedBytes_ += frame.size();
    if (isUp())
        actions_.emplace_back(Send {current_, frame});
    unacknowledged_.push_back({lastFrame_, now, std::move(frame)});
    dropFramesOverLimits(now);
}

void PeerLink::sendBestEffort(std::string frame)
{
    if (isUp())
        actions_.emplace_back(Send {current_, std::move(frame)});
}

void PeerLink::onOpened(TimePoint now, ConnectionNumber connection)
{
    now_ = now;
    if (connection == newest_)
        raise(Event::NewestOpened);
}

void PeerLink::onEnded(TimePoint now, ConnectionNumber connection)
{
    now_ = now;
    if (connection == current_)
        raise(Event::CurrentEnded);
    else if (connection == newest_)
        raise(Event::NewestEnded);
}

void PeerLink::onProbeAnswered(TimePoint now, ConnectionNumber connection, FrameNumber sent)
{
    now_ = now;
    if (connection != current_)
        return;
    answeredAt_ = now;
    failures_ = 0;
    while (!unacknowledged_.empty() && unacknowledged_.front().number <= sent)
        popFrame();
    raise(Event::CurrentAnswered);
}

void PeerLink::onTick(TimePoint now)
{
    now_ = now;
    dropFramesOverLimits(now);
    if (now >= retryAt_)
        raise(Event::RetryDue);
    if (!isUp())
        return;
    if (now - answeredAt_ >= timedOutAfter)
        raise(Event::CurrentTimedOut);
    else if (now - answeredAt_ >= unresponsiveAfter)
        raise(Event::CurrentUnresponsive);
    probeIfDue(now);
}

void PeerLink::shutDown()
{
    closeAll();
}

std::vector<PeerLink::Action> PeerLink::takeActions()
{
    return std::exchange(actions_, {});
}

void PeerLink::raise(Event event)
{
    const bool wasUp = isUp();
    lifecycle_.handle(*this, event);
    if (isUp() != wasUp)
        actions_.emplace_back(StateChanged {isUp()});
}

void PeerLink::dropFramesOverLimits(TimePoint now)
{
    while (!unacknowledged_.empty()
           && (unacknowledgedBytes_ > maxUnacknowledgedBytes
               || now - unacknowledged_.front().queuedAt > maxFrameAge))
        popFrame();
}

void PeerLink::popFrame()
{
    unacknowledgedBytes_ -= unacknowledged_.front().frame.size();
    unacknowledged_.pop_front();
}

void PeerLink::probeIfDue(TimePoint now)
{
    if (!isUp() || now - probedAt_ < probeInterval)
        return;
    probedAt_ = now;
    actions_.emplace_back(Probe {current_, lastFrame_});
}

void PeerLink::openConnection()
{
    newest_ = lastConnection_ = lastConnection_.next();
    actions_.emplace_back(Open {newest_});
}

void PeerLink::scheduleRetry()
{
    newest_ = {};
    retryAt_ = now_ + backoff_.delayAfter(failures_++);
}

void PeerLink::switchToNewest()
{
    if (current_ != ConnectionNumber())
        actions_.emplace_back(Close {current_});
    current_ = std::exchange(newest_, {});
    answeredAt_ = now_;
    probedAt_ = now_;
    for (const UnacknowledgedFrame &sent : unacknowledged_)
        actions_.emplace_back(Send {current_, sent.frame});
    actions_.emplace_back(Probe {current_, lastFrame_});
}

void PeerLink::closeNewest()
{
    if (newest_ != ConnectionNumber())
        actions_.emplace_back(Close {newest_});
    newest_ = {};
}

void PeerLink::closeAll()
{
    closeNewest();
    if (current_ != ConnectionNumber())
        actions_.emplace_back(Close {current_});
    current_ = {};
}

bool FrameDeduplicator::isNew(Incarnation incarnation, FrameNumber number)
{
    if (incarnation < incarnation_)
        return false;
    if (incarnation > incarnation_) {
        incarnation_ = incarnation;
        last_ = {};
    }
    if (number == FrameNumber())
        return true;
    if (number <= last_)
        return false;
    last_ = number;
    return true;
}

} // namespace caraway
