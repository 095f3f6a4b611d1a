#pragma once

#include <httplib.h>

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

namespace caraway::standins {

/// The platform's list of instances: POST /instances sets it, GET shows it after a lag.
class InstanceListStandin
{
public:
    explicit InstanceListStandin(std::chrono::milliseconds lag)
        : lag_(lag)
    {
    }

    /// Serves on \a port of the loopback address until the process ends.
    int serve(int port);

private:
    using Time = std::chrono::steady_clock::time_point;

    std::string shown();

    std::chrono::milliseconds lag_;
    httplib::Server server_;
    std::mutex mutex_;
    std::deque<std::pair<Time, std::string>> versions_;
};

} // namespace caraway::standins
