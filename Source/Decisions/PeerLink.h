#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"
#include "Core/Lifecycle.h"
#include "Decisions/Backoff.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace caraway {

/// Identifies a connection to a peer; unique within one process.
using ConnectionNumber = NumberId<struct ConnectionNumberTag>;
/// Numbers the reliable frames that one process sends over one link, from 1.
using FrameNumber = NumberId<struct FrameNumberTag>;
/// One run of an instance's process; higher for a later run.
using Incarnation = NumberId<struct IncarnationTag>;

/// Decides which connection carries the frames to one peer, and when to open another. It is
/// given the events of the connections and returns actions on them.
///
/// Probes are sent at an interval over the current connection. If they are not answered, a
/// second connection is opened while the first stays open, and whichever responds first is
/// used. Reliable frames that no probe's answer has acknowledged are resent over the new
/// connection.
class PeerLink
{
public:
    enum class State { Down, Connecting, Waiting, Up, Responsive, Racing, Unresponsive };
    enum class Event {
        NewestOpened,
        NewestEnded,
        CurrentEnded,
        CurrentTimedOut,
        CurrentUnresponsive,
        CurrentAnswered,
        RetryDue,
    };
    static const BoundChart<PeerLink> &chart();

    struct Open
    {
        ConnectionNumber connection;
    };
    struct Close
    {
        ConnectionNumber connection;
    };
    struct Probe
    {
        ConnectionNumber connection;
        /// The last reliable frame sent before it.
        FrameNumber sent;
    };
    struct Send
    {
        ConnectionNumber connection;
        std::string frame;
    };
    /// The link came up or went down.
    struct StateChanged
    {
        bool up = false;
    };
    using Action = std::variant<Open, Close, Probe, Send, StateChanged>;

    /// Connections are numbered after \a lastConnection, which all links of a process share.
    PeerLink(TimePoint now, std::uint64_t seed, ConnectionNumber &lastConnection);

    /// The number that the next reliable frame must carry.
    FrameNumber nextFrame() const { return lastFrame_.next(); }
    /// Sends a frame that carries nextFrame(), and stores it for resending until the peer has
    /// acknowledged it.
    void sendReliable(TimePoint now, std::string frame);
    /// Sends a frame without resending it; drops it if the link is down.
    void sendBestEffort(std::string frame);

    void onOpened(TimePoint now, ConnectionNumber connection);
    void onEnded(TimePoint now, ConnectionNumber connection);
    void onProbeAnswered(TimePoint now, ConnectionNumber connection, FrameNumber sent);
    void onTick(TimePoint now);
    /// Closes all connections; the link must not be used afterwards.
    void shutDown();

    bool isUp() const { return lifecycle_.isIn(State::Up); }
    std::size_t unacknowledgedBytes() const { return unacknowledgedBytes_; }
    std::vector<Action> takeActions();

private:
    struct UnacknowledgedFrame
    {
        FrameNumber number;
        TimePoint queuedAt;
        std::string frame;
    };

    void raise(Event event);
    void dropFramesOverLimits(TimePoint now);
    void popFrame();
    void probeIfDue(TimePoint now);

    void openConnection();
    void scheduleRetry();
    void switchToNewest();
    void closeNewest();
    void closeAll();

    ConnectionNumber &lastConnection_;
    Backoff backoff_;
    ConnectionNumber current_;
    ConnectionNumber newest_;
    TimePoint now_;
    TimePoint answeredAt_;
    TimePoint probedAt_;
    TimePoint retryAt_;
    std::uint32_t failures_ = 0;
    FrameNumber lastFrame_;
    std::deque<UnacknowledgedFrame> unacknowledged_;
    std::size_t unacknowledgedBytes_ = 0;
    std::vector<Action> actions_;
    Lifecycle<PeerLink> lifecycle_;
};

/// Recognises duplicate frames, which occur when two connections have raced.
class FrameDeduplicator
{
public:
    /// Whether the frame is new. Frames of an earlier incarnation than the latest are not.
    bool isNew(Incarnation incarnation, FrameNumber number);

private:
    Incarnation incarnation_;
    FrameNumber last_;
};

} // namespace caraway
