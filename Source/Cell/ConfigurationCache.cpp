#include "Cell/ConfigurationCache.h"

namespace caraway::cell {

namespace {

/// A change has to be in force within two seconds, even if the watch misses it.
constexpr RecordWatcher::Intervals intervals {Milliseconds(800), Milliseconds(60)};

} // namespace

ConfigurationCache::ConfigurationCache(CellContext &context)
    : context_(context)
    , watcher_(context, RecordType::Configuration, intervals,
               {[this](const StoreItem &item) { apply(item); }, [](const RecordKey &) {},
                [this](TimePoint sentAt) { confirmedAt_ = std::max(confirmedAt_, sentAt); }})
{
}

ConfigurationVersion ConfigurationCache::version() const
{
    return current_ ? current_->version : ConfigurationVersion();
}

const Queue *ConfigurationCache::queue(const QueueId &id) const
{
    const auto found = queues_.find(id);
    return found == queues_.end() ? nullptr : &current_->queues[found->second];
}

const ClientAccount *ConfigurationCache::account(const AccountId &id) const
{
    const auto found = accounts_.find(id);
    return found == accounts_.end() ? nullptr : &current_->accounts[found->second];
}

const ClientAccount *ConfigurationCache::accountWithKey(const AccountKey &key) const
{
    const auto found = accountKeys_.find(key);
    return found == accountKeys_.end() ? nullptr : &current_->accounts[found->second];
}

void ConfigurationCache::confirm(ConfigurationVersion version, TimePoint at)
{
    if (version == this->version())
        confirmedAt_ = std::max(confirmedAt_, at);
}

void ConfigurationCache::adopt(const CellConfiguration &configuration)
{
    if (current_ && configuration.version <= current_->version)
        return;
    context_.log("event=configuration_from_peer version={} previous={}",
                 configuration.version.value(), version().value());
    setCurrent(configuration);
}

void ConfigurationCache::onVersionAnnounced(ConfigurationVersion version)
{
    if (version > this->version())
        watcher_.relistSoon();
}

void ConfigurationCache::apply(const StoreItem &item)
{
    const auto *configuration = std::get_if<CellConfiguration>(&item.value);
    if (!configuration) {
        context_.log("event=configuration_malformed revision={} in_force={}", item.revision.value(),
                     version().value());
        return;
    }
    if (current_ && configuration->version <= current_->version)
        return;
    context_.log("event=configuration_in_force version={} previous={} revision={} queues={}",
                 configuration->version.value(), version().value(), item.revision.value(),
                 configuration->queues.size());
    setCurrent(*configuration);
}

void ConfigurationCache::setCurrent(const CellConfiguration &configuration)
{
    current_ = configuration;
    queues_.clear();
    for (std::size_t i = 0; i < current_->queues.size(); ++i)
        queues_.emplace(current_->queues[i].id, i);
    accounts_.clear();
    accountKeys_.clear();
    for (std::size_t i = 0; i < current_->accounts.size(); ++i) {
        accounts_.emplace(current_->accounts[i].id, i);
        for (const AccountKey &key : current_->accounts[i].keys)
            accountKeys_.emplace(key, i);
    }
}

} // namespace caraway::cell
