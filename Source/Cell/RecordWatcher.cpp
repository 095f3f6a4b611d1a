#include "Cell/RecordWatcher.h"

namespace caraway::cell {

namespace {

/// How long the store waits for a change before it answers a watch. A connection that stopped
/// delivering is replaced after this time.
constexpr Milliseconds watchWait {4000};
/// Added to the wait, for network delay and a slow store.
constexpr Milliseconds watchMargin {1000};

} // namespace

RecordWatcher::RecordWatcher(CellContext &context, RecordType type, Intervals intervals,
                             Handlers handlers)
    : context_(context)
    , type_(type)
    , intervals_(intervals)
    , handlers_(std::move(handlers))
{
}

void RecordWatcher::start()
{
    stop();
    running_ = true;
    list();
}

void RecordWatcher::stop()
{
    ++session_;
    running_ = listing_ = watching_ = relistDue_ = initialListDone_ = false;
    watchedTo_ = listedTo_ = {};
    known_.clear();
}

void RecordWatcher::tick()
{
    if (!running_)
        return;
    if (!listing_ && (relistDue_ || context_.now() >= nextList_))
        list();
    if (!watching_ && context_.storeHealth().isServing() && initialListDone_
        && context_.now() >= nextWatch_)
        watch();
}

void RecordWatcher::list()
{
    listing_ = true;
    relistDue_ = false;
    nextList_ = context_.now() + intervals_.relist;
    const auto listing = std::make_shared<Listing>();
    listing->sentAt = context_.now();
    listPage(listing, std::nullopt);
}

void RecordWatcher::listPage(const std::shared_ptr<Listing> &listing,
                             std::optional<RecordKey> after)
{
    context_.callStore(StoreList {type_, std::move(after)},
                       [this, session = session_, listing](const StoreReply &reply) {
                           if (session == session_)
                               onPage(listing, reply);
                       });
}

void RecordWatcher::onPage(const std::shared_ptr<Listing> &listing, const StoreReply &reply)
{
    if (reply.outcome != StoreOutcome::Done) {
        listing_ = false;
        nextList_ = context_.now() + context_.storeHealth().retryDelay();
        return;
    }
    if (listing->revision == Revision())
        listing->revision = reply.revision;
    for (const StoreItem &item : reply.items) {
        listing->seen.insert(item.key);
        applyItem(item);
    }
    if (reply.hasMore && !reply.items.empty()) {
        listPage(listing, reply.items.back().key);
        return;
    }
    finishListing(*listing);
}

void RecordWatcher::finishListing(const Listing &listing)
{
    std::vector<RecordKey> removed;
    for (auto known = known_.begin(); known != known_.end();) {
        const auto &[key, state] = *known;
        // A record written after the first page may be missing from the list.
        const bool isMissing = !listing.seen.contains(key) && state.revision <= listing.revision;
        if (isMissing && !state.deleted)
            removed.push_back(key);
        known = isMissing ? known_.erase(known) : std::next(known);
    }
    for (const RecordKey &key : removed)
        handlers_.removed(key);
    listing_ = false;
    listedTo_ = listing.revision;
    if (!initialListDone_)
        watchedTo_ = listing.revision;
    initialListDone_ = true;
    handlers_.listed(listing.sentAt);
}

void RecordWatcher::watch()
{
    watching_ = true;
    nextWatch_ = context_.now() + intervals_.minWatchInterval;
    context_.callStore(
            StoreWatch {type_, watchedTo_, watchWait},
            [this, session = session_](const StoreReply &reply) {
                if (session == session_)
                    onWatch(reply);
            },
            watchWait + watchMargin);
}

void RecordWatcher::onWatch(const StoreReply &reply)
{
    watching_ = false;
    if (reply.outcome == StoreOutcome::HistoryCompacted) {
        // The next list provides the revision from which the watch continues.
        initialListDone_ = false;
        relistDue_ = true;
        return;
    }
    if (reply.outcome != StoreOutcome::Done) {
        nextWatch_ = context_.now() + context_.storeHealth().retryDelay();
        return;
    }
    watchedTo_ = std::max(watchedTo_, reply.revision);
    for (const StoreItem &item : reply.items) {
        if (item.deleted)
            applyDeletion(item.key, item.revision);
        else
            applyItem(item);
    }
}

void RecordWatcher::applyItem(const StoreItem &item)
{
    // A record of this revision that the latest list does not contain has been deleted since.
    if (item.revision <= listedTo_ && !known_.contains(item.key))
        return;
    Known &known = known_[item.key];
    if (known.revision >= item.revision)
        return;
    known = {item.revision, false};
    handlers_.changed(item);
}

void RecordWatcher::applyDeletion(const RecordKey &key, Revision deletedAt)
{
    Known &known = known_[key];
    if (known.revision >= deletedAt)
        return;
    const bool existed = known.revision != Revision() && !known.deleted;
    known = {deletedAt, true};
    if (existed)
        handlers_.removed(key);
}

} // namespace caraway::cell
