#pragma once

#include "Cell/Records.h"

#include <variant>

namespace caraway::cell {

/// A record with its key and revision, or the deletion of one.
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

/// Lists the records of a type, page by page.
struct StoreList
{
    RecordType type = RecordType::Jobs;
    /// The last key of the previous page; nothing for the first page.
    std::optional<RecordKey> after;
};

/// Waits for changes to the records of a type after a revision.
struct StoreWatch
{
    RecordType type = RecordType::Jobs;
    Revision after;
    Milliseconds wait;
};

/// The key must be at this revision; 0 requires that the key does not exist.
struct StorePrecondition
{
    RecordKey key;
    Revision revision;
};

struct StoreWrite
{
    RecordKey key;
    RecordValue value;
    /// The key is deleted when this lease ends; 0 for no lease.
    LeaseId lease;
};

/// A transaction: applies all writes and deletions if every precondition holds, otherwise none.
struct StoreCommit
{
    std::vector<StorePrecondition> preconditions;
    std::vector<StoreWrite> writes;
    std::vector<RecordKey> deletes;

    void require(RecordKey key, Revision revision)
    {
        preconditions.push_back(StorePrecondition {std::move(key), revision});
    }
    void write(RecordKey key, RecordValue value, LeaseId lease = {})
    {
        writes.push_back(StoreWrite {std::move(key), std::move(value), lease});
    }
    std::size_t entries() const { return preconditions.size() + writes.size() + deletes.size(); }
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
    /// A precondition of a commit does not hold; the items contain the current state of its keys.
    Conflict,
    /// The key or lease does not exist.
    NotFound,
    /// The store no longer has the changes directly after the watch's start revision; list the
    /// records, then watch from the list's revision.
    HistoryCompacted,
    /// The store refused the call and did not carry it out.
    Refused,
    /// The store refuses the call itself, now and later, for example as too large.
    Invalid,
    /// No reply was received: the call may have been, or may still be, carried out.
    Unanswered,
};

struct StoreReply
{
    StoreOutcome outcome = StoreOutcome::Unanswered;
    std::vector<StoreItem> items;
    bool hasMore = false;
    /// The store's revision at the time of the reply; after a commit, the revision of the commit.
    Revision revision;
    LeaseId lease;
};

} // namespace caraway::cell
