#pragma once

#include "Decisions/Actions.h"
#include "Decisions/PresetChange.h"

#include <map>
#include <optional>

namespace caraway {

/// Keeps the preset in force: takes newer revisions only, whoever brings them, carries
/// operators' changes out, and knows which revision each peer follows.
class PresetKeeper
{
public:
    explicit PresetKeeper(InstanceId self)
        : self_(std::move(self))
    {
    }

    /// Takes \a inForce if it is newer than what is known; true when it did.
    bool learn(const PresetInForce &inForce);
    const std::optional<PresetInForce> &inForce() const { return inForce_; }
    Revision revision() const { return inForce_ ? inForce_->revision : Revision(); }

    /// Starts an operator's change, or refuses it when another came first.
    void use(TimePoint now, RequestId request, const UsePreset &change);
    void list(RequestId request);
    void define(RequestId request, const DefinePreset &define);
    void listFollowers(TimePoint now, RequestId request);
    void showAudit(RequestId request, const ShowAuditTrail &show);

    void on(TimePoint now, const PresetInForceRead &read);
    void on(TimePoint now, const PresetInForceWritten &written);
    void on(TimePoint now, const PresetDefinitionsRead &read);
    void on(TimePoint now, const PresetDefinitionWritten &written);
    void on(TimePoint now, const AuditTrailRead &read);
    void onTick(TimePoint now);
    /// Notes which revision \a peer follows, and sends it the preset if it has an older one.
    void onPeerRevision(TimePoint now, const InstanceId &peer, Revision revision);

    void drainActions(Actions &actions);

private:
    struct PeerState
    {
        Revision revision;
        TimePoint heardAt;
    };

    /// Answers and forgets \a change once its fate is known.
    void settle(PresetChange &change);
    void announce(const PresetChange &change);
    void answer(RequestId request, ErrorKind kind, std::string message);
    template<class Body>
    void call(Body body)
    {
        actions_.push_back(CallConfiguration {std::move(body)});
    }

    InstanceId self_;
    std::optional<PresetInForce> inForce_;
    std::map<ChangeId, PresetChange> changes_;
    std::map<InstanceId, PeerState> peers_;
    Actions actions_;
};

} // namespace caraway
