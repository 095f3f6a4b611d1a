#include "Cell/AreaFollower.h"

namespace caraway::cell {

namespace {

/// How long a watch waits; a connection that fell silent is replaced after it.
constexpr Milliseconds watchWait {4000};
/// Beyond the wait, for the way and a slow store.
constexpr Milliseconds watchSlack {1000};

} // namespace

AreaFollower::AreaFollower(CellContext &context, RecordArea area, Intervals intervals,
                           Handlers handlers)
    : context_(context)
    , area_(area)
    , intervals_(intervals)
    , handlers_(std::move(handlers))
{
}

void AreaFollower::start()
{
    stop();
    running_ = true;
    read();
}

void AreaFollower::stop()
{
    ++life_;
    running_ = reading_ = watching_ = rereadDue_ = firstReadDone_ = false;
    watchedTo_ = {};
    known_.clear();
}

void AreaFollower::tick()
{
    if (!running_)
        return;
    if (!reading_ && (rereadDue_ || context_.now() >= nextRead_))
        read();
    if (!watching_ && context_.storeHealth().isServing() && firstReadDone_
        && context_.now() >= nextWatch_)
        watch();
}

void AreaFollower::read()
{
    reading_ = true;
    rereadDue_ = false;
    nextRead_ = context_.now() + intervals_.reread;
    const auto reading = std::make_shared<Reading>();
    reading->sentAt = context_.now();
    readPage(reading, std::nullopt);
}

void AreaFollower::readPage(const std::shared_ptr<Reading> &reading, std::optional<RecordKey> after)
{
    context_.callStore(StoreList {area_, std::move(after)},
                       [this, life = life_, reading](const StoreReply &reply) {
                           if (life == life_)
                               onPage(reading, reply);
                       });
}

void AreaFollower::onPage(const std::shared_ptr<Reading> &reading, const StoreReply &reply)
{
    if (reply.outcome != StoreOutcome::Done) {
        reading_ = false;
        nextRead_ = context_.now() + context_.storeHealth().retryPause();
        return;
    }
    if (reading->at == Revision())
        reading->at = reply.at;
    for (const StoreItem &item : reply.items) {
        reading->seen.insert(item.key);
        take(item);
    }
    if (reply.hasMore && !reply.items.empty()) {
        readPage(reading, reply.items.back().key);
        return;
    }
    finishReading(*reading);
}

void AreaFollower::finishReading(const Reading &reading)
{
    std::vector<RecordKey> gone;
    for (auto known = known_.begin(); known != known_.end();) {
        const auto &[key, state] = *known;
        // What was written after the first page may be missing from it.
        const bool isMissing = !reading.seen.contains(key) && state.revision <= reading.at;
        if (isMissing && !state.deleted)
            gone.push_back(key);
        known = isMissing ? known_.erase(known) : std::next(known);
    }
    for (const RecordKey &key : gone)
        handlers_.gone(key);
    reading_ = false;
    if (!firstReadDone_)
        watchedTo_ = reading.at;
    firstReadDone_ = true;
    handlers_.read(reading.sentAt);
}

void AreaFollower::watch()
{
    watching_ = true;
    nextWatch_ = context_.now() + intervals_.watchGap;
    context_.callStore(
            StoreWatch {area_, watchedTo_, watchWait},
            [this, life = life_](const StoreReply &reply) {
                if (life == life_)
                    onWatch(reply);
            },
            watchWait + watchSlack);
}

void AreaFollower::onWatch(const StoreReply &reply)
{
    watching_ = false;
    if (reply.outcome == StoreOutcome::HistoryGone) {
        // The next reading starts a new history.
        firstReadDone_ = false;
        rereadDue_ = true;
        return;
    }
    if (reply.outcome != StoreOutcome::Done) {
        nextWatch_ = context_.now() + context_.storeHealth().retryPause();
        return;
    }
    watchedTo_ = std::max(watchedTo_, reply.at);
    for (const StoreItem &item : reply.items) {
        if (item.deleted)
            forget(item.key, item.revision);
        else
            take(item);
    }
}

void AreaFollower::take(const StoreItem &item)
{
    Known &known = known_[item.key];
    if (known.revision >= item.revision)
        return;
    known = {item.revision, false};
    handlers_.changed(item);
}

void AreaFollower::forget(const RecordKey &key, Revision deletedAt)
{
    Known &known = known_[key];
    if (known.revision >= deletedAt)
        return;
    const bool wasThere = known.revision != Revision() && !known.deleted;
    known = {deletedAt, true};
    if (wasThere)
        handlers_.gone(key);
}

} // namespace caraway::cell
