#pragma once

#include "Cell/Records.h"

#include <variant>

namespace caraway::cell {

/// An item of the store, or a note that it was deleted.
struct StoreItem
{
    RecordKey key;
    RecordValue value;
    Revision revision;
    bool deleted = false;
};

struct StoreGet
{
    RecordKey key;
};

/// One page of an area's items.
struct StoreList
{
    RecordArea area = RecordArea::Jobs;
    /// The last key of the page before; nothing for the first page.
    std::optional<RecordKey> after;
};

/// Waits for changes of an area after a revision.
struct StoreWatch
{
    RecordArea area = RecordArea::Jobs;
    Revision after;
    Milliseconds wait;
};

/// The key must have this revision; 0: the key must not exist.
struct StoreCondition
{
    RecordKey key;
    Revision revision;
};

struct StoreWrite
{
    RecordKey key;
    RecordValue value;
    /// The key goes when this lease ends; 0 for none.
    LeaseId lease;
};

/// Writes and deletes all of it if every condition holds, else nothing.
struct StoreCommit
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<RecordKey> deletes;

    void require(RecordKey key, Revision revision)
    {
        conditions.push_back(StoreCondition {std::move(key), revision});
    }
    void write(RecordKey key, RecordValue value, LeaseId lease = {})
    {
        writes.push_back(StoreWrite {std::move(key), std::move(value), lease});
    }
    std::size_t entries() const { return conditions.size() + writes.size() + deletes.size(); }
};

struct StoreGrantLease
{
    Milliseconds lifetime;
};
struct StoreRenewLease
{
    LeaseId lease;
};
struct StoreEndLease
{
    LeaseId lease;
};

using StoreRequest = std::variant<StoreGet, StoreList, StoreWatch, StoreCommit, StoreGrantLease,
                                  StoreRenewLease, StoreEndLease>;

enum class StoreOutcome {
    Done,
    /// A condition of a commit does not hold; the items tell the keys' present state.
    Conflict,
    /// There is no such key or lease.
    NotFound,
    /// The history that a watch asked for is gone; read the items instead.
    HistoryGone,
    /// The store refused the call and did nothing.
    Refused,
    /// No answer came: the call may have been, or may still be, carried out.
    Unanswered,
};

struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::vector<StoreItem> items;
    bool hasMore = false;
    /// The store's revision at the answer; for a commit, that of the commit.
    Revision at;
    LeaseId lease;
};

} // namespace caraway::cell
