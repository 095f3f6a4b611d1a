#pragma once

#include "Decisions/Actions.h"
#include "Decisions/PresetChange.h"

#include <map>
#include <optional>

namespace caraway {

/// Holds this instance's copy of the preset in force, which only newer revisions replace, from
/// the store or a peer. Performs operators' changes, and records which revision each peer
/// follows.
class PresetManager
{
public:
    explicit PresetManager(InstanceId self)
        : self_(std::move(self))
    {
    }

    /// Adopts \a inForce if its revision is newer; returns whether it did.
    bool updateInForce(const PresetInForce &inForce);
    const std::optional<PresetInForce> &inForce() const { return inForce_; }
    Revision revision() const { return inForce_ ? inForce_->revision : Revision(); }

    /// Starts an operator's change, or refuses it if it expects another revision.
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
    /// Records which revision \a peer follows, and sends it the preset if that is older.
    void onPeerRevision(TimePoint now, const InstanceId &peer, Revision revision);

    void drainActions(Actions &actions);

private:
    struct PeerState
    {
        Revision revision;
        TimePoint lastContactAt;
    };

    /// Collects the actions of \a change; once it is closed, answers the operator and removes
    /// it.
    void updateChange(PresetChange &change);
    void publish(const PresetChange &change);
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
