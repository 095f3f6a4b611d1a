#include "Decisions/PeerLink.h"

#include <utility>

namespace caraway {

namespace {

constexpr Milliseconds probeInterval(500);
/// Without an answer for this long, a connection is raced against a new one.
constexpr Milliseconds silentAfter(1100);
/// Without an answer for this long, the link counts as down.
constexpr Milliseconds lostAfter(4000);
constexpr Milliseconds firstRetry(100);
constexpr Milliseconds longestRetry(2000);
/// Kept frames older than this are dropped: their senders say them again.
constexpr Milliseconds keptLimit(5000);
constexpr std::size_t maxKeptBytes = 8 << 20;

} // namespace

const BoundChart<PeerLink> &PeerLink::chart()
{
    static const BoundChart<PeerLink> bound = BoundChart<PeerLink> {
            "PeerLink.scxml",
            {"down", "connecting", "waiting", "up", "answering", "racing", "silent"},
            {"newestOpened", "newestEnded", "currentEnded", "currentLost", "currentSilent",
             "currentAnswered", "retryDue"},
            {},
            {{"openConnection", &PeerLink::openConnection},
             {"scheduleRetry", &PeerLink::scheduleRetry},
             {"useNewest", &PeerLink::useNewest},
             {"closeNewest", &PeerLink::closeNewest},
             {"closeAll", &PeerLink::closeAll}}}.loadedOrAbort();
    return bound;
}

PeerLink::PeerLink(TimePoint now, std::uint64_t seed, ConnectionNumber &lastConnection)
    : lastConnection_(lastConnection)
    , backoff_(firstRetry, longestRetry, seed)
    , now_(now)
{
    machine_.start(*this);
}

void PeerLink::sendKept(TimePoint now, std::string frame)
{
    lastFrame_ = lastFrame_.next();
    keptBytes_ += frame.size();
    if (isUp())
        actions_.emplace_back(Send {current_, frame});
    kept_.push_back({lastFrame_, now, std::move(frame)});
    dropKept(now);
}

void PeerLink::sendOnce(std::string frame)
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
    while (!kept_.empty() && kept_.front().number <= sent)
        popKept();
    raise(Event::CurrentAnswered);
}

void PeerLink::onTick(TimePoint now)
{
    now_ = now;
    dropKept(now);
    if (now >= retryAt_)
        raise(Event::RetryDue);
    if (!isUp())
        return;
    if (now - answeredAt_ >= lostAfter)
        raise(Event::CurrentLost);
    else if (now - answeredAt_ >= silentAfter)
        raise(Event::CurrentSilent);
    probe(now);
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
    machine_.handle(*this, event);
    if (isUp() != wasUp)
        actions_.emplace_back(Changed {isUp()});
}

void PeerLink::dropKept(TimePoint now)
{
    while (!kept_.empty() && (keptBytes_ > maxKeptBytes || now - kept_.front().since > keptLimit))
        popKept();
}

void PeerLink::popKept()
{
    keptBytes_ -= kept_.front().frame.size();
    kept_.pop_front();
}

void PeerLink::probe(TimePoint now)
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

void PeerLink::useNewest()
{
    if (current_ != ConnectionNumber())
        actions_.emplace_back(Close {current_});
    current_ = std::exchange(newest_, {});
    answeredAt_ = now_;
    probedAt_ = now_;
    for (const Kept &kept : kept_)
        actions_.emplace_back(Send {current_, kept.frame});
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

bool FrameFilter::isNew(Incarnation incarnation, FrameNumber number)
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
