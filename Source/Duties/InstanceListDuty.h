#pragma once

#include "Core/StopSignal.h"
#include "Duties/HttpClient.h"
#include "Duties/Rings.h"
#include "Duties/ServeSettings.h"

#include <string>
#include <thread>
#include <vector>

namespace caraway {

/// Reads the platform's list of instances at a fixed interval.
class InstanceListDuty
{
public:
    InstanceListDuty(EventRing &events, const Clock &clock, const ServeSettings &settings);
    ~InstanceListDuty();

private:
    void run();
    void readOnce();

    EventRing &events_;
    const Clock &clock_;
    Milliseconds interval_;
    std::unique_ptr<httplib::Client> client_;
    /// The malformed entries of the last list, which are logged when they change.
    std::vector<std::string> malformed_;
    StopSignal stop_;
    std::thread thread_;
};

} // namespace caraway
