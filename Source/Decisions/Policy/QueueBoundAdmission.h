#pragma once

#include "Decisions/Policy/Concepts.h"

namespace caraway {

/// Accepts work until the bound of its kind's queue is reached.
class QueueBoundAdmission
{
public:
    static constexpr Milliseconds retryAfterFullQueue {1000};

    std::optional<Refusal> refusalOf(const AdmissionRequest &request) const
    {
        if (request.queuedInKind + request.taskCount <= request.policy.queueBound)
            return std::nullopt;
        return Refusal {{ErrorKind::QueueFull,
                         "The queue for kind " + request.policy.kind.value()
                                 + " is full. Submit again later."},
                        retryAfterFullQueue};
    }
    void onStarted(KindIndex /*kind*/, std::size_t /*count*/) { }
    void onPassEnded(TimePoint /*now*/, KindIndex /*kind*/, std::size_t /*queued*/) { }
};

} // namespace caraway
