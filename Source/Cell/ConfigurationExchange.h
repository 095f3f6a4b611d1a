#pragma once

#include "Cell/ConfigurationCache.h"

namespace caraway::cell {

/// Confirms the configuration through another instance while the store does not confirm it to this
/// one, so that a withdrawn account key is not accepted for longer than a change may take.
class ConfigurationExchange
{
public:
    ConfigurationExchange(CellContext &context, ConfigurationCache &configuration)
        : context_(context)
        , configuration_(configuration)
    {
    }

    /// Whether the latest confirmation is so old that another instance should be asked.
    bool isRequestDue() const;
    void request(const Address &peer);
    void onRequest(const Address &from, const PeerConfigurationRequest &request);
    void onReply(const PeerConfigurationReply &reply);

private:
    CellContext &context_;
    ConfigurationCache &configuration_;
    std::uint64_t lastNumber_ = 0;
    /// When the last request was sent; a reply confirms nothing later than that.
    TimePoint requestedAt_;
};

} // namespace caraway::cell
