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

/// One connection to a peer, unique within one process.
using ConnectionNumber = NumberId<struct ConnectionNumberTag>;
/// Counts the kept frames that one process sent over one link, from 1.
using FrameNumber = NumberId<struct FrameNumberTag>;
/// Tells the lives of one instance apart.
using Incarnation = NumberId<struct IncarnationTag>;

/// Decides which connection carries the frames to one peer, and when to open another. The
/// connections' events go in, what to do with them comes out.
///
/// Probes go out at an interval over the current connection. When they are not answered, a
/// new connection is opened beside it, and whichever answers first is used. Kept frames are
/// sent again over the new connection unless a probe's answer has confirmed them.
class PeerLink
{
public:
    enum class State { Down, Connecting, Waiting, Up, Answering, Racing, Silent };
    enum class Event {
        NewestOpened,
        NewestEnded,
        CurrentEnded,
        CurrentLost,
        CurrentSilent,
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
        /// The last kept frame sent before it.
        FrameNumber sent;
    };
    struct Send
    {
        ConnectionNumber connection;
        std::string frame;
    };
    /// The link can be used, or no longer can.
    struct Changed
    {
        bool up = false;
    };
    using Action = std::variant<Open, Close, Probe, Send, Changed>;

    /// Connections are numbered from \a lastConnection on, which all links of a process share.
    PeerLink(TimePoint now, std::uint64_t seed, ConnectionNumber &lastConnection);

    /// The number that the next kept frame must carry.
    FrameNumber nextFrame() const { return lastFrame_.next(); }
    /// Sends a frame that carries nextFrame(), and keeps it until the peer has it.
    void sendKept(TimePoint now, std::string frame);
    /// Sends a frame now or never.
    void sendOnce(std::string frame);

    void onOpened(TimePoint now, ConnectionNumber connection);
    void onEnded(TimePoint now, ConnectionNumber connection);
    void onProbeAnswered(TimePoint now, ConnectionNumber connection, FrameNumber sent);
    void onTick(TimePoint now);
    /// Closes what is open; the link is not used afterwards.
    void shutDown();

    bool isUp() const { return machine_.isIn(State::Up); }
    std::size_t keptBytes() const { return keptBytes_; }
    std::vector<Action> takeActions();

private:
    struct Kept
    {
        FrameNumber number;
        TimePoint since;
        std::string frame;
    };

    void raise(Event event);
    void dropKept(TimePoint now);
    void popKept();
    void probe(TimePoint now);

    void openConnection();
    void scheduleRetry();
    void useNewest();
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
    std::deque<Kept> kept_;
    std::size_t keptBytes_ = 0;
    std::vector<Action> actions_;
    Lifecycle<PeerLink> machine_;
};

/// Finds frames that came before, after a race between two connections.
class FrameFilter
{
public:
    /// Whether the frame is new. Frames of a life that ended before the last one are not.
    bool isNew(Incarnation incarnation, FrameNumber number);

private:
    Incarnation incarnation_;
    FrameNumber last_;
};

} // namespace caraway
