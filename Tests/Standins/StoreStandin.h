#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace caraway::standins {

/// A small key-value service with compare-and-swap and watches, that counts its calls and
/// can be told to fail: POST /control with outage, delay_ms, lose_answers,
/// lose_config_answers. GET /history lists every write that took effect.
class StoreStandin
{
public:
    /// Serves on \a port of the loopback address until the process ends.
    int serve(int port);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void addRoutes();
    /// Applies the faults in force; false when the call must fail before it takes effect.
    bool admit(httplib::Response &response, std::uint64_t &counter);
    void get(const httplib::Request &request, httplib::Response &response);
    void range(const httplib::Request &request, httplib::Response &response);
    void put(const httplib::Request &request, httplib::Response &response);
    void remove(const httplib::Request &request, httplib::Response &response);
    void watch(const httplib::Request &request, httplib::Response &response);
    void control(const httplib::Request &request, httplib::Response &response);
    void stats(httplib::Response &response);
    nlohmann::json itemsUnder(const std::string &prefix, std::uint64_t after) const;
    void finishWrite(const std::string &key, httplib::Response &response, std::uint64_t revision);

    httplib::Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    nlohmann::json history_ = nlohmann::json::array();
    std::uint64_t revision_ = 0;
    bool outage_ = false;
    std::int64_t delayMs_ = 0;
    std::int64_t answersToLose_ = 0;
    /// The same for keys under config/ only.
    std::int64_t configAnswersToLose_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
};

} // namespace caraway::standins
