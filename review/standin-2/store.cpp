#include "store.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

constexpr std::int64_t answerDelayMs = 4;
constexpr std::chrono::milliseconds expiryInterval {20};
constexpr std::size_t pageSize = 500;
constexpr std::size_t largestTransaction = 32;
const std::string root = "/carawaymount/";

std::string toBase64(const std::string &bytes)
{
    static const std::string digits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(i + j <= bytes.size() ? digits[group >> (18U - 6U * j) & 63U] : '=');
    }
    return text;
}

/// The part of \a path after \a prefix; nothing when it begins otherwise.
std::optional<std::string> afterPrefix(const std::string &path, const std::string &prefix)
{
    return path.starts_with(prefix) ? std::optional(path.substr(prefix.size())) : std::nullopt;
}

} // namespace

std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(duration, 0)));
}

std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

Store::Store(int instances)
{
    for (int i = 0; i < instances; ++i) {
        servers_.push_back(std::make_unique<HttpServer>(
                [this, i](const HttpRequest &request) { return handle(i, request); }));
    }
    expiry_ = std::thread([this] { expire(); });
}

Store::~Store()
{
    {
        const std::lock_guard lock(mutex_);
        isClosing_ = true;
        changed_.notify_all();
    }
    expiry_.join();
    servers_.clear();
}

void Store::put(const std::string &key, const Json &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, toBase64(value.dump()), 0);
    changed_.notify_all();
}

void Store::beat(const std::string &key, const Json &value, std::int64_t lifetime)
{
    put(key, value);
    const std::lock_guard lock(mutex_);
    entryEnds_[key] = nowMs() + lifetime;
}

HttpResponse Store::handle(int instance, const HttpRequest &request)
{
    if (request.path == root + "advise" && advice_)
        return advice_(request);
    std::unique_lock lock(mutex_);
    HttpResponse response = execute(request, lock);
    if (response.status == 200 && request.path.starts_with(root + "kv-keep/"))
        keeper_ = instance;
    lock.unlock();
    sleepMs(answerDelayMs);
    return response;
}

HttpResponse Store::execute(const HttpRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::string path = afterPrefix(request.path, root).value_or("");
    if (path == "kv-key")
        return get(request);
    if (path == "kv-range")
        return list(request);
    if (path == "kv-watch")
        return watch(request, lock);
    if (path == "kv-txn")
        return commit(Json::parse(request.body));
    if (path == "kv-lease")
        return grantLease(Json::parse(request.body));
    if (const auto id = afterPrefix(path, "kv-keep/"))
        return keepLease(std::stoll(*id));
    const auto ended = afterPrefix(path, "kv-lease-end/");
    if (!ended)
        return {404};
    endLease(std::stoll(*ended));
    return {200};
}

HttpResponse Store::grantLease(const Json &body)
{
    const std::int64_t length = body.at("ttlMs");
    leases_[++lastLease_] = {length, nowMs() + length};
    return {200, Json {{"lease", lastLease_}, {"ttlMs", length}}.dump()};
}

HttpResponse Store::keepLease(std::int64_t id)
{
    const auto lease = leases_.find(id);
    if (lease == leases_.end())
        return {404};
    lease->second.endsAt = nowMs() + lease->second.length;
    return {200, Json {{"ttlMs", lease->second.length}}.dump()};
}

HttpResponse Store::get(const HttpRequest &request) const
{
    const std::string &key = request.query.at("key");
    const auto item = items_.find(key);
    if (item == items_.end())
        return {404, Json {{"at", revision_}}.dump()};
    Json body = row(key, item->second);
    body["at"] = revision_;
    return {200, body.dump()};
}

HttpResponse Store::list(const HttpRequest &request) const
{
    const std::string &prefix = request.query.at("prefix");
    const auto after = request.query.find("after");
    auto item = after == request.query.end() ? items_.lower_bound(prefix)
                                             : items_.upper_bound(after->second);
    Json rows = Json::array();
    for (; item != items_.end() && item->first.starts_with(prefix) && rows.size() < pageSize;
         ++item)
        rows.push_back(row(item->first, item->second));
    const bool hasMore = item != items_.end() && item->first.starts_with(prefix);
    return {200, Json {{"items", rows}, {"hasMore", hasMore}, {"at", revision_}}.dump()};
}

HttpResponse Store::watch(const HttpRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::string prefix = request.query.at("prefix");
    std::int64_t after = std::stoll(request.query.at("after"));
    const auto until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::stoll(request.query.at("waitMs")));
    Json events = Json::array();
    while (true) {
        auto event = std::ranges::upper_bound(history_, after, {}, [](const Json &entry) {
            return entry.at("revision").get<std::int64_t>();
        });
        for (; event != history_.end(); ++event) {
            if (event->at("key").get_ref<const std::string &>().starts_with(prefix))
                events.push_back(*event);
        }
        after = std::max(after, revision_);
        if (!events.empty() || isClosing_
            || changed_.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return {200, Json {{"events", events}, {"at", revision_}}.dump()};
}

bool Store::mayWrite(const Json &writes) const
{
    return std::ranges::none_of(writes, [](const Json &entry) {
        const std::string key = entry.at("key");
        return key.starts_with("op/") || key.starts_with("servers/");
    });
}

HttpResponse Store::commit(const Json &body)
{
    const Json &preconditions = body.at("precondition");
    const Json &writes = body.at("writes");
    const Json &deletes = body.at("deletes");
    if (preconditions.size() + writes.size() + deletes.size() > largestTransaction)
        return {400};
    bool holds = true;
    Json current = Json::array();
    for (const Json &condition : preconditions) {
        const std::string key = condition.at("key");
        const auto item = items_.find(key);
        const std::int64_t revision = item == items_.end() ? 0 : item->second.revision;
        holds = holds && revision == condition.at("revision").get<std::int64_t>();
        current.push_back(item == items_.end() ? Json {{"key", key}, {"revision", 0}}
                                               : row(key, item->second));
    }
    if (!holds)
        return {412, Json {{"items", current}, {"at", revision_}}.dump()};
    if (!mayWrite(writes))
        return {403};
    for (const Json &entry : writes) {
        const std::int64_t lease = entry.value("lease", std::int64_t(0));
        if (lease != 0 && !leases_.contains(lease))
            return {404};
    }
    ++revision_;
    for (const Json &entry : writes)
        write(entry.at("key"), entry.at("value"), entry.value("lease", std::int64_t(0)));
    for (const Json &key : deletes) {
        if (items_.erase(key.get<std::string>()) > 0)
            history_.push_back({{"key", key}, {"revision", revision_}, {"deleted", true}});
    }
    changed_.notify_all();
    return {200, Json {{"revision", revision_}}.dump()};
}

Json Store::row(const std::string &key, const Item &item)
{
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void Store::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    Item &item = items_[key];
    item.value = value;
    item.lease = lease;
    item.revision = revision_;
    if (item.created == 0)
        item.created = revision_;
    history_.push_back(row(key, item));
}

void Store::erase(const std::string &key)
{
    if (items_.erase(key) > 0)
        history_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
}

void Store::endLease(std::int64_t id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : items_) {
        if (item.lease == id)
            keys.push_back(key);
    }
    for (const std::string &key : keys)
        erase(key);
    changed_.notify_all();
}

void Store::expireOnce()
{
    const std::int64_t now = nowMs();
    std::vector<std::int64_t> endedLeases;
    for (const auto &[id, lease] : leases_) {
        if (now >= lease.endsAt)
            endedLeases.push_back(id);
    }
    for (const std::int64_t id : endedLeases)
        endLease(id);
    std::erase_if(entryEnds_, [&](const auto &entry) {
        const bool hasEnded = now >= entry.second;
        if (hasEnded) {
            erase(entry.first);
            changed_.notify_all();
        }
        return hasEnded;
    });
}

void Store::expire()
{
    std::unique_lock lock(mutex_);
    while (!isClosing_) {
        changed_.wait_for(lock, expiryInterval);
        expireOnce();
    }
}

} // namespace review
