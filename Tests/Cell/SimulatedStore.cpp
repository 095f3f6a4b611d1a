#include "Cell/SimulatedStore.h"

#include <algorithm>

namespace caraway::tests {

using namespace cell;

bool SimulatedStore::isOfType(RecordType type, const RecordKey &key)
{
    if (type == RecordType::JobsAndCancels)
        return key.type == RecordType::Jobs || key.type == RecordType::Cancels;
    if (type == RecordType::Holder)
        return key.type == RecordType::Holder || key.type == RecordType::HolderLease;
    return key.type == type;
}

StoreItem SimulatedStore::itemOf(const RecordKey &key) const
{
    StoreItem item;
    item.key = key;
    const auto found = items_.find(key);
    if (found != items_.end()) {
        item.value = found->second.value;
        item.revision = found->second.revision;
    }
    return item;
}

void SimulatedStore::put(const RecordKey &key, RecordValue value, LeaseId lease)
{
    revision_ = revision_.next();
    items_[key] = {std::move(value), revision_, lease};
    history_.push_back({key, revision_, false});
}

void SimulatedStore::remove(const RecordKey &key)
{
    if (items_.erase(key) == 0)
        return;
    revision_ = revision_.next();
    history_.push_back({key, revision_, true});
}

const RecordValue *SimulatedStore::find(const RecordKey &key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : &found->second.value;
}

std::size_t SimulatedStore::count(RecordType type) const
{
    return static_cast<std::size_t>(
            std::count_if(items_.begin(), items_.end(),
                          [&](const auto &item) { return isOfType(type, item.first); }));
}

StoreReply SimulatedStore::commit(const StoreCommit &commit)
{
    ++commits_;
    StoreReply reply;
    bool allMet = true;
    for (const StorePrecondition &precondition : commit.preconditions) {
        reply.items.push_back(itemOf(precondition.key));
        allMet &= reply.items.back().revision == precondition.revision;
    }
    if (!allMet) {
        reply.outcome = StoreOutcome::Conflict;
        return reply;
    }
    for (const StoreWrite &write : commit.writes) {
        if (write.lease != LeaseId() && !leases_.contains(write.lease))
            return {StoreOutcome::NotFound, {}, false, {}, {}};
    }
    revision_ = revision_.next();
    for (const StoreWrite &write : commit.writes) {
        items_[write.key] = {write.value, revision_, write.lease};
        history_.push_back({write.key, revision_, false});
    }
    for (const RecordKey &key : commit.deletes) {
        if (items_.erase(key) > 0)
            history_.push_back({key, revision_, true});
    }
    return {StoreOutcome::Done, {}, false, revision_, {}};
}

StoreReply SimulatedStore::execute(TimePoint now, const StoreRequest &request)
{
    StoreReply reply;
    reply.outcome = StoreOutcome::Done;
    reply.revision = revision_;
    if (const auto *get = std::get_if<StoreGet>(&request)) {
        if (!items_.contains(get->key))
            return {StoreOutcome::NotFound, {}, false, {}, {}};
        reply.items.push_back(itemOf(get->key));
    } else if (const auto *list = std::get_if<StoreList>(&request)) {
        for (const auto &[key, stored] : items_) {
            if (isOfType(list->type, key))
                reply.items.push_back(itemOf(key));
        }
    } else if (const auto *change = std::get_if<StoreCommit>(&request)) {
        return commit(*change);
    } else if (const auto *grant = std::get_if<StoreGrantLease>(&request)) {
        revision_ = revision_.next();
        reply.lease = LeaseId(revision_.value());
        leases_[reply.lease] = {now + grant->lifetime, grant->lifetime};
    } else if (const auto *renew = std::get_if<StoreRenewLease>(&request)) {
        const auto lease = leases_.find(renew->lease);
        if (lease == leases_.end())
            return {StoreOutcome::NotFound, {}, false, {}, {}};
        lease->second.first = now + lease->second.second;
    } else if (const auto *end = std::get_if<StoreEndLease>(&request)) {
        const auto lease = leases_.find(end->lease);
        if (lease != leases_.end())
            lease->second.first = now;
    }
    return reply;
}

std::vector<StoreItem> SimulatedStore::changesAfter(RecordType type, Revision after) const
{
    std::vector<StoreItem> changes;
    const auto first = std::upper_bound(
            history_.begin(), history_.end(), after,
            [](Revision revision, const Change &change) { return revision < change.revision; });
    for (auto next = first; next != history_.end(); ++next) {
        const Change &change = *next;
        if (!isOfType(type, change.key))
            continue;
        StoreItem item = itemOf(change.key);
        // Only the latest value is stored, so an overwritten change is left out.
        if (!change.deleted && item.revision != change.revision)
            continue;
        item.revision = change.revision;
        item.deleted = change.deleted;
        changes.push_back(std::move(item));
    }
    return changes;
}

void SimulatedStore::handle(TimePoint now, const StoreRequest &request, const Reply &reply)
{
    if (const auto *watch = std::get_if<StoreWatch>(&request))
        watches_.push_back({watch->type, watch->after, now + watch->wait, reply});
    else
        reply(execute(now, request));
    answerWatches(now);
}

void SimulatedStore::answerWatches(TimePoint now)
{
    for (auto pending = watches_.begin(); pending != watches_.end();) {
        std::vector<StoreItem> changes = changesAfter(pending->type, pending->after);
        if (changes.empty() && now < pending->deadline) {
            ++pending;
            continue;
        }
        const Reply reply = std::move(pending->reply);
        pending = watches_.erase(pending);
        reply({StoreOutcome::Done, std::move(changes), false, revision_, {}});
    }
}

void SimulatedStore::tick(TimePoint now)
{
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (now < lease->second.first) {
            ++lease;
            continue;
        }
        std::vector<RecordKey> expired;
        for (const auto &[key, stored] : items_) {
            if (stored.lease == lease->first)
                expired.push_back(key);
        }
        for (const RecordKey &key : expired)
            remove(key);
        lease = leases_.erase(lease);
    }
    answerWatches(now);
}

} // namespace caraway::tests
