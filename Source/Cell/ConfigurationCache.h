#pragma once

#include "Cell/RecordWatcher.h"

namespace caraway::cell {

/// Caches the newest configuration that this process has read; older versions are ignored.
class ConfigurationCache
{
public:
    explicit ConfigurationCache(CellContext &context);

    void start() { watcher_.start(); }
    void tick() { watcher_.tick(); }
    /// Another instance announced \a version: lists the records again if it is newer.
    void onVersionAnnounced(ConfigurationVersion version);

    /// Null until a configuration has been read.
    const CellConfiguration *current() const { return current_ ? &*current_ : nullptr; }
    /// The queue of that name in the newest configuration; null if there is none.
    const Queue *queue(const QueueId &id) const;
    /// 0 until a configuration has been read.
    ConfigurationVersion version() const;
    /// The client account in the newest configuration; null if there is none.
    const ClientAccount *account(const AccountId &id) const;
    /// The client account that \a key belongs to in the newest configuration; null if there is
    /// none.
    const ClientAccount *accountWithKey(const AccountKey &key) const;

    /// The latest time at which the newest version in the store is known to have been the present
    /// one, from a list of this instance or through another one.
    TimePoint confirmedAt() const { return confirmedAt_; }
    /// Another instance knew at \a at that \a version was the newest one in the store.
    void confirm(ConfigurationVersion version, TimePoint at);
    /// Another instance has read the configuration from the store.
    void adopt(const CellConfiguration &configuration);

private:
    void apply(const StoreItem &item);
    void setCurrent(const CellConfiguration &configuration);

    CellContext &context_;
    std::optional<CellConfiguration> current_;
    /// Positions in the newest configuration's list of queues.
    std::unordered_map<QueueId, std::size_t> queues_;
    /// Positions in its list of accounts.
    std::unordered_map<AccountId, std::size_t> accounts_;
    std::unordered_map<AccountKey, std::size_t> accountKeys_;
    TimePoint confirmedAt_;
    RecordWatcher watcher_;
};

} // namespace caraway::cell
