#include "Decisions/Policy/GangReservations.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr std::size_t maxReservations = 16;
constexpr std::size_t workersPerReservation = 16;

bool isReservable(const AllocationLedger::WorkerAllocation &allocation)
{
    return allocation.isOpen && allocation.reservedFor == ReservationKey();
}

/// Chooses workers in the order in which they are expected to become idle until their capacity fits
/// \a count tasks; empty when all candidates together are too small.
std::vector<WorkerIndex> earliestIdleWorkers(const AllocationLedger &ledger,
                                             std::vector<WorkerIndex> candidates,
                                             const Resources &needs, std::int64_t count)
{
    std::erase_if(candidates, [&](WorkerIndex worker) {
        return !isReservable(ledger.allocation(worker))
                || !needs.fitsIn(ledger.allocation(worker).capacity);
    });
    std::ranges::stable_sort(candidates, {}, [&](WorkerIndex worker) {
        return ledger.allocation(worker).busyUntil;
    });
    std::vector<WorkerIndex> chosen;
    for (const WorkerIndex worker : candidates) {
        chosen.push_back(worker);
        count -= needs.timesIn(ledger.allocation(worker).capacity, count);
        if (count == 0)
            return chosen;
    }
    return {};
}

TimePoint readyTimeOf(const AllocationLedger &ledger, const std::vector<WorkerIndex> &workers)
{
    TimePoint ready;
    for (const WorkerIndex worker : workers)
        ready = std::max(ready, ledger.allocation(worker).busyUntil);
    return ready;
}

} // namespace

std::vector<WorkerIndex> GangReservations::reserve(TimePoint /*now*/,
                                                   const AllocationLedger &ledger,
                                                   const SchedulingUnit &unit)
{
    const std::size_t limit
            = std::min(maxReservations, 1 + ledger.allocations().size() / workersPerReservation);
    if (reservations_.size() >= limit || reservedWorkers(unit.number))
        return {};
    const auto count = static_cast<std::int64_t>(unit.tasks.size());
    Reservation best {unit.number, unit.tasks.front().job, {}, {}};
    std::vector<WorkerIndex> all;
    for (const std::vector<WorkerIndex> &rack : ledger.racks()) {
        all.insert(all.end(), rack.begin(), rack.end());
        std::vector<WorkerIndex> inRack
                = earliestIdleWorkers(ledger, rack, unit.needsPerTask, count);
        const TimePoint readyAt = readyTimeOf(ledger, inRack);
        if (inRack.empty() || (!best.workers.empty() && best.readyAt <= readyAt))
            continue;
        best.workers = std::move(inRack);
        best.readyAt = readyAt;
    }
    if (best.workers.empty()) {
        best.workers = earliestIdleWorkers(ledger, std::move(all), unit.needsPerTask, count);
        best.readyAt = readyTimeOf(ledger, best.workers);
    }
    if (best.workers.empty())
        return {};
    reservations_.push_back(best);
    return best.workers;
}

const std::vector<WorkerIndex> *GangReservations::reservedWorkers(UnitNumber unit) const
{
    const auto found = std::ranges::find(reservations_, unit, &Reservation::unit);
    return found == reservations_.end() ? nullptr : &found->workers;
}

std::vector<WorkerIndex> GangReservations::release(UnitNumber unit)
{
    const auto found = std::ranges::find(reservations_, unit, &Reservation::unit);
    if (found == reservations_.end())
        return {};
    std::vector<WorkerIndex> workers = std::move(found->workers);
    reservations_.erase(found);
    return workers;
}

std::vector<WorkerIndex> GangReservations::releaseJob(const JobName &job)
{
    std::vector<WorkerIndex> workers;
    std::erase_if(reservations_, [&](const Reservation &reservation) {
        if (reservation.job != job)
            return false;
        workers.insert(workers.end(), reservation.workers.begin(), reservation.workers.end());
        return true;
    });
    return workers;
}

std::optional<WorkerIndex> GangReservations::backfill(TimePoint now, const AllocationLedger &ledger,
                                                      const SchedulingUnit &unit) const
{
    if (unit.isGang() || unit.expectedRunTime <= Milliseconds())
        return std::nullopt;
    for (const Reservation &reservation : reservations_) {
        if (now + unit.expectedRunTime > reservation.readyAt)
            continue;
        for (const WorkerIndex worker : reservation.workers) {
            const AllocationLedger::WorkerAllocation &allocation = ledger.allocation(worker);
            if (allocation.isOpen && unit.needsPerTask.fitsIn(allocation.free()))
                return worker;
        }
    }
    return std::nullopt;
}

} // namespace caraway
