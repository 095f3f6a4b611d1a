#pragma once

#include "CellDuties/EntryProcess.h"
#include "CellDuties/SignalDuty.h"
#include "Core/Error.h"

#include <random>
#include <stdexcept>

namespace caraway::cell {

/// Runs one entry instance until SIGTERM; the result is the exit code. Fails when an address
/// that it listens on is in use.
template<FleetProtocol Protocol>
Result<int> serveCell(const CellSettings &settings)
{
    blockSignals();
    // The random low bits distinguish two incarnations that start in the same millisecond.
    constexpr std::uint64_t randomBits = 10;
    std::random_device random;
    const auto startedAt = static_cast<std::uint64_t>(Clock::wallClock().count());
    const std::uint64_t incarnation
            = (startedAt << randomBits) | (random() & ((1U << randomBits) - 1));
    try {
        EntryProcess<Protocol> process(settings, ProcessId {settings.self, incarnation});
        const SignalDuty signals([&] { process.requestStop(); }, [&] { process.logReload(); });
        process.run();
        return 0;
    } catch (const std::runtime_error &error) {
        return fail(ErrorKind::InvalidSettings,
                    fmt::format("The instance cannot listen: {}. Free the port or set another one "
                                "under [instance].",
                                error.what()));
    }
}

} // namespace caraway::cell
