#pragma once

#include "httpServer.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace review {

using Json = nlohmann::json;

std::int64_t nowMs();
void sleepMs(std::int64_t duration);
std::int64_t unixMs();

/// The platform's metadata store, with a port for each instance that calls it.
class Store
{
public:
    explicit Store(int instances);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    int port(int instance) const { return servers_.at(static_cast<std::size_t>(instance))->port(); }
    /// A write of the operator.
    void put(const std::string &key, const Json &value);
    /// A heartbeat of a worker; the entry ends \a lifetime after the last one.
    void beat(const std::string &key, const Json &value, std::int64_t lifetime);
    /// The instance that last kept a lease; -1 for none.
    int keeper() const { return keeper_; }
    /// The policy service listens on the same ports.
    void setAdvice(HttpServer::Handler advice) { advice_ = std::move(advice); }

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        std::int64_t length = 0;
        std::int64_t endsAt = 0;
    };

    HttpResponse handle(int instance, const HttpRequest &request);
    HttpResponse execute(const HttpRequest &request, std::unique_lock<std::mutex> &lock);
    HttpResponse get(const HttpRequest &request) const;
    HttpResponse list(const HttpRequest &request) const;
    HttpResponse watch(const HttpRequest &request, std::unique_lock<std::mutex> &lock);
    HttpResponse commit(const Json &body);
    HttpResponse grantLease(const Json &body);
    HttpResponse keepLease(std::int64_t id);
    bool mayWrite(const Json &writes) const;
    static Json row(const std::string &key, const Item &item);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void endLease(std::int64_t id);
    void expire();
    void expireOnce();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isClosing_ = false;
    std::atomic<int> keeper_ = -1;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 0;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::map<std::string, std::int64_t> entryEnds_;
    std::vector<Json> history_;
    HttpServer::Handler advice_;
    std::thread expiry_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
};

} // namespace review
