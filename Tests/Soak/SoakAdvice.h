#pragma once

#include "Soak/SoakServer.h"
#include "Soak/SoakTypes.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace caraway::tests {

/// The policy service: decides which workers may run a step, and gives out tickets.
class SoakAdvice
{
public:
    static constexpr Milliseconds validity {2500};

    /// \a decisionTime: how long each request takes.
    SoakAdvice(int instances, Milliseconds decisionTime);

    /// A request of \a instance; its requests are handled in turn.
    SoakResponse handle(std::size_t instance, const SoakRequest &request);
    /// A process of the worker has started.
    void setLife(const WorkerId &worker, SoakIncarnation incarnation);
    /// Whether the step may run on one worker only, if the service has such steps at all.
    static bool isNarrow(const std::string &step);
    /// From now on a part of the steps may run on one worker only.
    void setNarrowSteps() { hasNarrowSteps_ = true; }
    /// The worker has gone for good.
    void remove(const WorkerId &worker);
    /// Whether the ticket lets the present process of the worker start tasks of the step.
    bool isValid(const std::string &ticket, const std::string &step, const WorkerId &worker) const;

private:
    /// The step may run on most of the workers, and on one of them at least; a narrow one only
    /// there.
    bool isPermitted(const std::string &step, const std::string &worker) const;
    /// Everything that a ticket is bound to.
    std::string subjectOf(const std::string &step, const std::string &worker) const;

    Milliseconds decisionTime_;
    bool hasNarrowSteps_ = false;
    std::vector<std::unique_ptr<std::mutex>> turns_;
    mutable std::mutex mutex_;
    std::map<std::string, SoakIncarnation> lives_;
    std::map<std::string, std::pair<std::string, Milliseconds>> tickets_;
    std::uint64_t lastTicket_ = 0;
};

} // namespace caraway::tests
