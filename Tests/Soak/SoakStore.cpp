#include "Soak/SoakStore.h"

#include <algorithm>
#include <chrono>

namespace caraway::tests {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds usualAnswerDelay {4};
constexpr std::chrono::milliseconds expiryInterval {20};
constexpr std::size_t pageSize = 500;
constexpr std::size_t largestTransaction = 32;
constexpr std::string_view root = "/carawaymount/";

std::string toBase64(const std::string &bytes)
{
    static constexpr std::string_view digits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=');
    }
    return text;
}

} // namespace

SoakStore::SoakStore(int instances)
    : answerDelay_(usualAnswerDelay)
    , refusals_(static_cast<std::size_t>(instances), SoakRefusal::None)
{
    for (std::size_t i = 0; i < refusals_.size(); ++i) {
        servers_.push_back(std::make_unique<SoakServer>(
                [this, i](const SoakRequest &request) { return handle(i, request); }));
    }
    expiry_ = std::thread([this] { expire(); });
}

SoakStore::~SoakStore()
{
    {
        const std::lock_guard lock(mutex_);
        isClosing_ = true;
        changed_.notify_all();
    }
    expiry_.join();
    servers_.clear();
}

void SoakStore::put(const std::string &key, const Json &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, toBase64(value.dump()), 0);
    changed_.notify_all();
}

bool SoakStore::beat(const std::string &key, const Json &value, Milliseconds lifetime)
{
    const std::lock_guard lock(mutex_);
    if (isDown_)
        return false;
    ++revision_;
    write(key, toBase64(value.dump()), 0);
    entryEnds_[key] = soakNow() + lifetime;
    changed_.notify_all();
    return true;
}

void SoakStore::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    erase(key);
    entryEnds_.erase(key);
    changed_.notify_all();
}

void SoakStore::setDown(bool isDown, bool doLeasesPause)
{
    const std::lock_guard lock(mutex_);
    if (isDown == isDown_)
        return;
    isDown_ = isDown;
    if (isDown) {
        downSince_ = soakNow();
        doLeasesPause_ = doLeasesPause;
    } else if (doLeasesPause_) {
        for (auto &[id, lease] : leases_)
            lease.endsAt += soakNow() - downSince_;
    }
    changed_.notify_all();
}

void SoakStore::setAnswerDelay(Milliseconds delay)
{
    const std::lock_guard lock(mutex_);
    answerDelay_ = std::max(delay, usualAnswerDelay);
}

void SoakStore::setLosingAnswers(bool isLosing)
{
    const std::lock_guard lock(mutex_);
    isLosingAnswers_ = isLosing;
}

void SoakStore::setRefusal(int instance, SoakRefusal refusal)
{
    const std::lock_guard lock(mutex_);
    refusals_.at(static_cast<std::size_t>(instance)) = refusal;
}

void SoakStore::forgetHistory()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    forgottenTo_ = revision_;
}

SoakResponse SoakStore::handle(std::size_t instance, const SoakRequest &request)
{
    if (request.path == "/carawaymount/advise" && advice_)
        return advice_(instance, request);
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !isDown_ || isClosing_; });
    switch (refusals_[instance]) {
    case SoakRefusal::None:
        break;
    case SoakRefusal::Unavailable:
        return {503};
    case SoakRefusal::TooMany:
        return {429};
    case SoakRefusal::Reset:
        return {503, "", false, true};
    case SoakRefusal::Silence:
        return {503, "", true};
    }
    SoakResponse response = execute(request, lock);
    response.isSilent = isLosingAnswers_ || refusals_[instance] == SoakRefusal::Silence;
    const Milliseconds delay = answerDelay_;
    lock.unlock();
    soakSleep(delay);
    return response;
}

SoakResponse SoakStore::execute(const SoakRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::string path = request.path.substr(std::min(root.size(), request.path.size()));
    if (path == "kv-key")
        return get(request);
    if (path == "kv-range")
        return list(request);
    if (path == "kv-watch")
        return watch(request, lock);
    if (path == "kv-txn")
        return commit(Json::parse(request.body));
    if (path == "kv-lease") {
        const Milliseconds length(Json::parse(request.body).at("ttlMs").get<std::int64_t>());
        leases_[++lastLease_] = {length, soakNow() + length};
        return {200, Json {{"lease", lastLease_}, {"ttlMs", length.count()}}.dump()};
    }
    if (path.starts_with("kv-keep/")) {
        const auto lease = leases_.find(std::stoll(path.substr(8)));
        if (lease == leases_.end())
            return {404};
        lease->second.endsAt = soakNow() + lease->second.length;
        return {200, Json {{"ttlMs", lease->second.length.count()}}.dump()};
    }
    if (path.starts_with("kv-lease-end/")) {
        endLease(std::stoll(path.substr(13)));
        return {200};
    }
    return {404};
}

SoakResponse SoakStore::get(const SoakRequest &request) const
{
    const std::string &key = request.query.at("key");
    const auto item = items_.find(key);
    if (item == items_.end())
        return {404, Json {{"at", revision_}}.dump()};
    Json body = row(key, item->second);
    body["at"] = revision_;
    return {200, body.dump()};
}

SoakResponse SoakStore::list(const SoakRequest &request) const
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

SoakResponse SoakStore::watch(const SoakRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::string prefix = request.query.at("prefix");
    std::int64_t after = std::stoll(request.query.at("after"));
    const auto until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::stoll(request.query.at("waitMs")));
    Json events = Json::array();
    while (true) {
        if (after < forgottenTo_)
            return {410, Json {{"at", revision_}}.dump()};
        auto event = std::ranges::upper_bound(history_, after, {}, [](const Json &entry) {
            return entry.at("revision").get<std::int64_t>();
        });
        for (; event != history_.end(); ++event) {
            if (event->at("key").get_ref<const std::string &>().starts_with(prefix))
                events.push_back(*event);
        }
        after = std::max(after, revision_);
        if (!events.empty() || isDown_ || isClosing_
            || changed_.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return {200, Json {{"events", events}, {"at", revision_}}.dump()};
}

SoakResponse SoakStore::commit(const Json &body)
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
    for (const Json &entry : writes) {
        const std::string key = entry.at("key");
        if (key.starts_with("op/") || key.starts_with("servers/"))
            return {403};
        const std::int64_t lease = entry.value("lease", std::int64_t(0));
        if (lease != 0 && !leases_.contains(lease))
            return {404};
    }
    ++revision_;
    for (const Json &entry : writes)
        write(entry.at("key"), entry.at("value"), entry.value("lease", std::int64_t(0)));
    const std::int64_t revision = revision_;
    for (const Json &key : deletes) {
        if (items_.erase(key.get<std::string>()) > 0)
            history_.push_back({{"key", key}, {"revision", revision}, {"deleted", true}});
    }
    changed_.notify_all();
    return {200, Json {{"revision", revision}}.dump()};
}

Json SoakStore::row(const std::string &key, const Item &item)
{
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void SoakStore::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    Item &item = items_[key];
    item.value = value;
    item.lease = lease;
    item.revision = revision_;
    if (item.created == 0)
        item.created = revision_;
    history_.push_back(row(key, item));
}

void SoakStore::erase(const std::string &key)
{
    if (items_.erase(key) > 0)
        history_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
}

void SoakStore::endLease(std::int64_t id)
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

void SoakStore::expire()
{
    std::unique_lock lock(mutex_);
    while (!isClosing_) {
        changed_.wait_for(lock, expiryInterval);
        if (isDown_ && doLeasesPause_)
            continue;
        const Milliseconds now = soakNow();
        std::vector<std::int64_t> endedLeases;
        for (const auto &[id, lease] : leases_) {
            if (now >= lease.endsAt)
                endedLeases.push_back(id);
        }
        for (const std::int64_t id : endedLeases)
            endLease(id);
        for (auto entry = entryEnds_.begin(); entry != entryEnds_.end();) {
            if (now < entry->second) {
                ++entry;
                continue;
            }
            erase(entry->first);
            entry = entryEnds_.erase(entry);
            changed_.notify_all();
        }
    }
}

} // namespace caraway::tests
