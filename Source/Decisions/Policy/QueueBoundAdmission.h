#pragma once

#include "Decisions/Policy/Concepts.h"

namespace caraway {

/// Takes whatever the bound of the kind's queue leaves room for.
class QueueBoundAdmission
{
public:
    static constexpr Milliseconds retryAfterFullQueue {1000};

    std::optional<Refusal> refusalOf(const AdmissionQuestion &question) const
    {
        if (question.waitingInKind + question.taskCount <= question.policy.queueBound)
            return std::nullopt;
        return Refusal {{ErrorKind::QueueFull,
                         "The queue for kind " + question.policy.kind.value()
                                 + " is full. Submit again later."},
                        retryAfterFullQueue};
    }
    void onStarted(KindIndex /*kind*/, std::size_t /*count*/) { }
    void onRoundEnded(TimePoint /*now*/, KindIndex /*kind*/, std::size_t /*waiting*/) { }
};

} // namespace caraway
