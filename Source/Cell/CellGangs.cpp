#include "Cell/CellScheduler.h"

#include <algorithm>

namespace caraway::cell {

namespace {

/// Room is collected for several gangs at once up to this part of the workers' processors; more
/// would keep room empty that smaller work can use meanwhile.
constexpr std::int64_t collectingDivisor = 7;
/// Tickets are asked for when this part of the seats is free: the rest follows while they come.
constexpr std::int64_t askForTicketsPercent = 80;
constexpr std::int64_t percent = 100;

} // namespace

/// Approved workers that could seat members, those with a valid ticket and most seats first.
std::vector<CellScheduler::GangSeats> CellScheduler::gangSeats(const StartCandidate &candidate)
{
    const CellStep &step = *candidate.step;
    std::vector<GangSeats> seats;
    for (WorkerSlot &slot : pass_.slots) {
        if (!mayRun(slot, candidate) || !isApproved(slot, candidate))
            continue;
        const std::int64_t most
                = step.spec.need.timesIn(slot.worker->entry->capacity, step.spec.tasks);
        if (most > 0)
            seats.push_back({&slot, roomFor(slot, step), most, hasTicket(slot, candidate)});
    }
    std::sort(seats.begin(), seats.end(), [&](const GangSeats &a, const GangSeats &b) {
        if ((a.free > 0 && a.hasTicket) != (b.free > 0 && b.hasTicket))
            return a.free > 0 && a.hasTicket;
        if (a.free != b.free)
            return a.free > b.free;
        return a.slot->room.processors > b.slot->room.processors;
    });
    return seats;
}

/// Keeps the room on these workers from candidates that come later in the order: the free seats,
/// and then one more seat a worker at a time, as a worker frees one seat much sooner than several.
void CellScheduler::keepSeats(const StartCandidate &candidate, const std::vector<GangSeats> &seats)
{
    std::int64_t missing = candidate.step->spec.tasks;
    std::vector<std::int64_t> kept(seats.size());
    for (std::size_t i = 0; i < seats.size(); ++i) {
        kept[i] = std::min(missing, seats[i].free);
        missing -= kept[i];
    }
    bool isAdding = true;
    while (missing > 0 && isAdding) {
        isAdding = false;
        for (std::size_t i = 0; i < seats.size() && missing > 0; ++i) {
            if (kept[i] >= seats[i].most)
                continue;
            ++kept[i];
            --missing;
            isAdding = true;
        }
    }
    const Resources &need = candidate.step->spec.need;
    for (std::size_t i = 0; i < seats.size(); ++i) {
        if (kept[i] == 0)
            continue;
        for (std::int64_t seat = 0; seat < kept[i]; ++seat)
            seats[i].slot->room -= need;
        keptForGangs_.insert(seats[i].slot->worker->number());
        pass_.askable -= need.processors * kept[i];
    }
}

/// Approved workers that have to be asked for a ticket: not only those with free seats, as while
/// the answer is under way some seats go to more urgent work and others become free.
std::vector<WorkerId> CellScheduler::withoutTicket(const std::vector<GangSeats> &seats)
{
    std::vector<WorkerId> workers;
    for (const GangSeats &row : seats) {
        if (!row.hasTicket && workers.size() < maxAskedWorkers)
            workers.push_back(row.slot->worker->id());
    }
    return workers;
}

/// Starts the members when approved workers have free seats and valid tickets for all of them.
/// Otherwise it keeps the free seats and collects more, and asks for tickets when most are there.
void CellScheduler::startGang(const StartCandidate &candidate)
{
    const CellStep &step = *candidate.step;
    const auto tasks = static_cast<std::int64_t>(step.tasks.size());
    const std::vector<GangSeats> seats = gangSeats(candidate);
    std::int64_t free = 0;
    std::int64_t ready = 0;
    for (const GangSeats &row : seats) {
        free += row.free;
        ready += row.hasTicket ? row.free : 0;
    }
    if (ready >= tasks) {
        seatGang(candidate, seats);
        return;
    }
    const bool isSeated = free >= tasks;
    const bool isNearlySeated = free * percent >= tasks * askForTicketsPercent;
    std::vector<WorkerId> known = isNearlySeated ? withoutTicket(seats) : std::vector<WorkerId>();
    if (!isSeated)
        askForGang(candidate, tasks - free, std::move(known));
    else if (needsApproval(*candidate.queue) && isAskDue(candidate))
        ask(candidate, std::move(known));
    if (isSeated || pass_.collected * collectingDivisor <= pass_.capacity)
        keepSeats(candidate, seats);
    if (!isSeated)
        pass_.collected += step.spec.need.processors * tasks;
}

void CellScheduler::seatGang(const StartCandidate &candidate, const std::vector<GangSeats> &seats)
{
    CellStep &step = *candidate.step;
    RunNumber run;
    for (const CellTask &task : step.tasks)
        run = std::max(run, nextRun(task));
    std::size_t index = 0;
    for (const GangSeats &row : seats) {
        for (std::int64_t i = 0; row.hasTicket && i < row.free && index < step.tasks.size(); ++i)
            startTask(candidate, index++, run, *row.slot);
    }
}

} // namespace caraway::cell
