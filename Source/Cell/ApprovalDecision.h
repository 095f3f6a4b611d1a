#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caraway::cell {

/// What a scheduling pass decided about an approval request for a step with waiting tasks.
enum class ApprovalDecision : std::uint8_t {
    /// No pass has looked at the step's approvals.
    None,
    Queued,
    /// An earlier request has not been answered yet.
    Open,
    /// The latest request was too recent.
    NotDue,
    /// The queue of approval requests is full.
    QueueFull,
    /// The approved workers have enough free capacity.
    Sufficient,
    /// A task is larger than each worker.
    TooLarge,
    /// No worker has enough free capacity for a task.
    NoRoom,
    /// Candidates earlier in the order are likely to use the free capacity.
    Earmarked,
    /// The policy service has denied workers with free capacity, and no others have any.
    Denied,
    /// The workers with free capacity are kept for other tasks, or have as many tasks of the step
    /// as they may.
    Restricted,
};

constexpr std::size_t approvalDecisions
        = static_cast<std::size_t>(ApprovalDecision::Restricted) + 1;

/// How often passes have come to each decision.
using ApprovalDecisionCounts = std::array<std::size_t, approvalDecisions>;

constexpr std::string_view nameOf(ApprovalDecision decision)
{
    constexpr std::array<std::string_view, approvalDecisions> names
            = {"none",      "queued",  "open",      "not_due", "queue_full", "sufficient",
               "too_large", "no_room", "earmarked", "denied",  "restricted"};
    return names.at(static_cast<std::size_t>(decision));
}

} // namespace caraway::cell
