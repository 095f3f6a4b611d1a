#pragma once

#include "Soak/SoakServer.h"
#include "Soak/SoakTypes.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace caraway::tests {

/// How the store treats the calls of one instance.
enum class SoakRefusal { None, Unavailable, TooMany, Reset, Silence };

/// The platform's metadata store, with a port for each instance that calls it.
class SoakStore
{
public:
    explicit SoakStore(int instances);
    ~SoakStore();

    /// The port on which instance \a instance calls the store.
    int port(int instance) const { return servers_.at(static_cast<std::size_t>(instance))->port(); }
    /// A write of the operator.
    void put(const std::string &key, const nlohmann::json &value);
    /// A heartbeat of a worker; returns false while the store is down. The entry ends \a lifetime
    /// after the last one.
    bool beat(const std::string &key, const nlohmann::json &value, Milliseconds lifetime);
    void remove(const std::string &key);

    /// While the store is down its calls wait, and are carried out when it is back.
    /// \a doLeasesPause: leases last longer by that time.
    void setDown(bool isDown, bool doLeasesPause);
    void setAnswerDelay(Milliseconds delay);
    /// Calls are carried out, but their answers are lost.
    void setLosingAnswers(bool isLosing);
    void setRefusal(int instance, SoakRefusal refusal);
    /// Watches cannot continue from before now.
    void forgetHistory();
    using AdviceHandler = std::function<SoakResponse(std::size_t, const SoakRequest &)>;
    /// The policy service listens on the same ports, and is never in trouble with the store.
    void setAdvice(AdviceHandler advice) { advice_ = std::move(advice); }

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
        Milliseconds length;
        Milliseconds endsAt;
    };

    SoakResponse handle(std::size_t instance, const SoakRequest &request);
    SoakResponse execute(const SoakRequest &request, std::unique_lock<std::mutex> &lock);
    SoakResponse get(const SoakRequest &request) const;
    SoakResponse list(const SoakRequest &request) const;
    SoakResponse watch(const SoakRequest &request, std::unique_lock<std::mutex> &lock);
    SoakResponse commit(const nlohmann::json &body);
    static nlohmann::json row(const std::string &key, const Item &item);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void endLease(std::int64_t id);
    void expire();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isClosing_ = false;
    bool isDown_ = false;
    bool doLeasesPause_ = false;
    Milliseconds downSince_;
    Milliseconds answerDelay_;
    bool isLosingAnswers_ = false;
    std::vector<SoakRefusal> refusals_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 77'000;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::map<std::string, Milliseconds> entryEnds_;
    std::vector<nlohmann::json> history_;
    std::int64_t forgottenTo_ = 0;
    AdviceHandler advice_;
    std::thread expiry_;
    std::vector<std::unique_ptr<SoakServer>> servers_;
};

} // namespace caraway::tests
