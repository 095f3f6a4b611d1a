#include "Duties/LogDuty.h"

#include "Core/Clock.h"

#include <fmt/format.h>

namespace caraway {

LogDuty::LogDuty(InstanceId self, std::size_t capacity)
    : self_(std::move(self))
    , changes_(capacity)
    , thread_([this] { run(); })
{
}

LogDuty::~LogDuty()
{
    changes_.close();
    thread_.join();
}

void LogDuty::run()
{
    while (const std::optional<LogChange> change = changes_.take()) {
        fmt::print(stderr, "{} {}: {}: {}\n", Clock::wallClock().count(), self_.value(),
                   change->subject, change->change);
    }
}

} // namespace caraway
