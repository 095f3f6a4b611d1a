#pragma once

#include "Decisions/Fleet.h"

#include <map>

namespace caraway {

/// What the holder of a shard has reserved on each of its workers.
///
/// A reservation is made before a start is sent and released only when the worker
/// is known not to run the task; a timeout releases nothing.
class Ledger
{
public:
    struct Account
    {
        Resources capacity;
        Resources reserved;
        /// Whether new work may be placed here.
        bool isOpen = false;

        Resources free() const { return capacity - reserved; }
    };

    void setCapacity(const WorkerId &worker, const Resources &capacity);
    void setOpen(const WorkerId &worker, bool isOpen);
    void removeAccount(const WorkerId &worker) { accounts_.erase(worker); }
    /// Drops every reservation and closes every worker.
    void clearReservations();

    /// Reserves \a needs; false, and nothing changes, when there is no room.
    bool reserve(const WorkerId &worker, const Resources &needs);
    /// Reserves what a worker already runs, whether or not there seems to be room.
    void reserveFound(const WorkerId &worker, const Resources &needs);
    void release(const WorkerId &worker, const Resources &needs);

    /// Whether some worker could hold \a needs when it is empty.
    bool couldEverFit(const Resources &needs) const;
    const std::map<WorkerId, Account> &accounts() const { return accounts_; }

private:
    std::map<WorkerId, Account> accounts_;
};

} // namespace caraway
