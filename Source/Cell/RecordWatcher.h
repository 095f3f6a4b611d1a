#pragma once

#include "Cell/CellContext.h"

#include <map>
#include <set>

namespace caraway::cell {

/// Follows all records of one type in the store: lists them, watches for changes, and lists them
/// again at intervals, because a watch may be disconnected, may miss history that the store has
/// compacted, or may stop delivering without an error.
class RecordWatcher
{
public:
    struct Handlers
    {
        /// A record is new or has a newer revision.
        std::function<void(const StoreItem &)> changed;
        std::function<void(const RecordKey &)> removed;
        /// A complete list, whose first request was sent at \a sentAt, has been processed.
        std::function<void(TimePoint sentAt)> listed;
    };
    struct Intervals
    {
        Milliseconds relist;
        /// Minimum time between the starts of two watch calls, so that changes arrive in batches.
        Milliseconds minWatchInterval;
    };

    RecordWatcher(CellContext &context, RecordType type, Intervals intervals, Handlers handlers);

    void start();
    /// Stops and discards all state; replies to calls in flight are ignored.
    void stop();
    void tick();
    /// Lists again at the next tick.
    void relistSoon() { relistDue_ = true; }
    /// Whether a first list is complete since the start, or since the watch last missed history.
    bool isListed() const { return initialListDone_; }

private:
    struct Listing
    {
        TimePoint sentAt;
        /// Revision of the first page.
        Revision revision;
        std::set<RecordKey> seen;
    };

    void list();
    void listPage(const std::shared_ptr<Listing> &listing, std::optional<RecordKey> after);
    void onPage(const std::shared_ptr<Listing> &listing, const StoreReply &reply);
    void finishListing(const Listing &listing);
    void watch();
    void onWatch(const StoreReply &reply);
    void applyItem(const StoreItem &item);
    void applyDeletion(const RecordKey &key, Revision deletedAt);

    /// The newest known revision of a key. Deletions are kept until a later list, so that an
    /// older list in flight does not restore the record.
    struct Known
    {
        Revision revision;
        bool deleted = false;
    };

    CellContext &context_;
    RecordType type_;
    Intervals intervals_;
    Handlers handlers_;
    /// Rises with each stop, so that replies to calls made before it are recognized.
    std::uint64_t session_ = 0;
    bool running_ = false;
    bool listing_ = false;
    bool watching_ = false;
    bool relistDue_ = false;
    bool initialListDone_ = false;
    TimePoint nextList_;
    TimePoint nextWatch_;
    Revision watchedTo_;
    /// Revision of the latest complete list.
    Revision listedTo_;
    std::map<RecordKey, Known> known_;
};

} // namespace caraway::cell
