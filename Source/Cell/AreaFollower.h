#pragma once

#include "Cell/CellContext.h"

#include <map>
#include <set>

namespace caraway::cell {

/// Follows all items of one area of the store: reads them, watches for changes, and reads them
/// again at intervals, because a watch may be cut, may miss history or may fall silent.
class AreaFollower
{
public:
    struct Handlers
    {
        /// An item is new or has a newer revision.
        std::function<void(const StoreItem &)> changed;
        std::function<void(const RecordKey &)> gone;
        /// A whole reading, sent at \a sentAt, has been taken in.
        std::function<void(TimePoint sentAt)> read;
    };
    struct Intervals
    {
        Milliseconds reread;
        /// Least time between two watches, so that changes come in batches.
        Milliseconds watchGap;
    };

    AreaFollower(CellContext &context, RecordArea area, Intervals intervals, Handlers handlers);

    void start();
    /// Stops and forgets everything; replies under way are ignored.
    void stop();
    void tick();
    /// Reads again at the next tick.
    void rereadSoon() { rereadDue_ = true; }
    bool isRead() const { return firstReadDone_; }

private:
    struct Reading
    {
        TimePoint sentAt;
        Revision at;
        std::set<RecordKey> seen;
    };

    void read();
    void readPage(const std::shared_ptr<Reading> &reading, std::optional<RecordKey> after);
    void onPage(const std::shared_ptr<Reading> &reading, const StoreReply &reply);
    void finishReading(const Reading &reading);
    void watch();
    void onWatch(const StoreReply &reply);
    void take(const StoreItem &item);
    void forget(const RecordKey &key, Revision deletedAt);

    /// The newest that is known of a key. Deletions are remembered until a later reading, so
    /// that an older reading under way does not bring the item back.
    struct Known
    {
        Revision revision;
        bool deleted = false;
    };

    CellContext &context_;
    RecordArea area_;
    Intervals intervals_;
    Handlers handlers_;
    /// Grows with each start, so that replies to an earlier life are told apart.
    std::uint64_t life_ = 0;
    bool running_ = false;
    bool reading_ = false;
    bool watching_ = false;
    bool rereadDue_ = false;
    bool firstReadDone_ = false;
    TimePoint nextRead_;
    TimePoint nextWatch_;
    Revision watchedTo_;
    std::map<RecordKey, Known> known_;
};

} // namespace caraway::cell
