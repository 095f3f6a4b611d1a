#pragma once

#include "Cell/PassReport.h"
#include "Core/Clock.h"

#include <algorithm>
#include <concepts>

namespace caraway::cell {

/// When the next scheduling pass may run; the events in between are handled by one pass.
template<class Pacing>
concept PassPacing = std::constructible_from<Pacing, Millicores> && requires(
        Pacing pacing, const Pacing &constPacing, TimePoint at, const PassDuration &duration)
{
    pacing.recordStart(at);
    pacing.recordTime(at, duration);
    {
        constPacing.nextPass()
        } -> std::same_as<TimePoint>;
};

/// The baseline: a pass begins a fixed time after the one before.
class FixedPacing
{
public:
    /// \a processors are those of this instance.
    explicit FixedPacing(Millicores /*processors*/) { }

    void recordStart(TimePoint startedAt) { nextPass_ = startedAt + minInterval; }
    void recordTime(TimePoint /*endedAt*/, const PassDuration & /*duration*/) { }
    TimePoint nextPass() const { return nextPass_; }

private:
    static constexpr Milliseconds minInterval {15};

    TimePoint nextPass_;
};

/// Passes use a limited share of the processor and of time, however much one costs, so that a long
/// backlog, or a processor that is slow or shared with other processes, leaves time for the lease,
/// the replies of workers and the recording of progress.
class ProcessorSharePacing
{
public:
    /// \a processors are those of this instance.
    explicit ProcessorSharePacing(Millicores processors)
        : processors_(processors)
    {
    }

    /// A pass begins.
    void recordStart(TimePoint startedAt) { nextPass_ = startedAt + minInterval; }
    void recordTime(TimePoint endedAt, const PassDuration &duration)
    {
        // The decisions have one thread, so further processors do not make a pass shorter.
        const std::int64_t usable
                = std::clamp<std::int64_t>(processors_.count(), 1, millicoresPerCore);
        const std::int64_t share = duration.processorTime.count() * millicoresPerCore / usable;
        const std::int64_t length = std::max(share, duration.elapsed.count());
        const Milliseconds pause(length * (percent - passPercent) / passPercent
                                 / microsecondsPerMillisecond);
        nextPass_ = std::max(nextPass_, endedAt + std::min(pause, maxPause));
    }
    TimePoint nextPass() const { return nextPass_; }

private:
    static constexpr Milliseconds minInterval {15};
    /// Work that can start does not wait longer for the next pass.
    static constexpr Milliseconds maxPause {1000};
    /// Share of the processor that passes may use.
    static constexpr std::int64_t passPercent = 33;
    static constexpr std::int64_t percent = 100;
    static constexpr std::int64_t millicoresPerCore = 1000;
    static constexpr std::int64_t microsecondsPerMillisecond = 1000;

    Millicores processors_;
    TimePoint nextPass_;
};

static_assert(PassPacing<FixedPacing> && PassPacing<ProcessorSharePacing>);

} // namespace caraway::cell
