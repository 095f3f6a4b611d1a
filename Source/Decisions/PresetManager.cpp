#include "Decisions/PresetManager.h"

#include <fmt/format.h>

namespace caraway {

namespace {

/// An operator's change is attempted for this long; then its outcome is reported as unknown.
constexpr Milliseconds changeTimeout(4000);

constexpr auto storeUnanswered
        = "The store did not answer; the preset in force is unchanged. Try again later.";

} // namespace

bool PresetManager::updateInForce(const PresetInForce &inForce)
{
    if (inForce.revision <= revision())
        return false;
    inForce_ = inForce;
    actions_.push_back(
            LogChange {"preset",
                       fmt::format("{} in force at revision {}", inForce.preset.name.value(),
                                   inForce.revision.value())});
    return true;
}

void PresetManager::use(TimePoint now, RequestId request, const UsePreset &change)
{
    const ChangeId &id = change.change.id;
    if (inForce_ && inForce_->contains(id)) {
        actions_.push_back(AnswerCaller {request, *inForce_});
        return;
    }
    if (changes_.contains(id)) {
        answer(request, ErrorKind::Conflict,
               "This change is already in progress. Look at `preset show` for its outcome.");
        return;
    }
    if (change.expected && *change.expected != revision()) {
        answer(request, ErrorKind::Conflict,
               fmt::format("The preset in force is at revision {}, not {}. Look at `preset show`, "
                           "then decide again.",
                           revision().value(), change.expected->value()));
        return;
    }
    PresetChange newChange(request, successorOf(inForce_, change.preset, change.change),
                           now + changeTimeout);
    PresetChange &inserted = changes_.emplace(id, std::move(newChange)).first->second;
    inserted.start();
    inserted.drainActions(actions_);
}

void PresetManager::list(RequestId request)
{
    call(ReadPresetDefinitions {request});
}

void PresetManager::define(RequestId request, const DefinePreset &define)
{
    call(WritePresetDefinition {request, define.definition});
}

void PresetManager::showAudit(RequestId request, const ShowAuditTrail &show)
{
    call(ReadAuditTrail {request, show.day});
}

void PresetManager::listFollowers(TimePoint now, RequestId request)
{
    std::vector<Follower> followers = {{self_, revision(), Milliseconds()}};
    for (const auto &[peer, state] : peers_)
        followers.push_back({peer, state.revision, now - state.lastContactAt});
    actions_.push_back(AnswerCaller {request, std::move(followers)});
}

void PresetManager::on(TimePoint now, const PresetInForceRead &read)
{
    if (read.inForce)
        updateInForce(*read.inForce);
    const auto found = changes_.find(read.change);
    if (found == changes_.end())
        return;
    found->second.onRead(now, read);
    updateChange(found->second);
}

void PresetManager::on(TimePoint now, const PresetInForceWritten &written)
{
    if (written.outcome == StoreOutcome::Done)
        updateInForce(written.inForce);
    const auto found = changes_.find(written.inForce.change.id);
    if (found == changes_.end())
        return;
    found->second.onWritten(now, written);
    updateChange(found->second);
}

void PresetManager::on(TimePoint /*now*/, const PresetDefinitionsRead &read)
{
    if (read.outcome == StoreOutcome::Done)
        actions_.push_back(AnswerCaller {read.request, read.definitions});
    else
        answer(read.request, ErrorKind::Unavailable, storeUnanswered);
}

void PresetManager::on(TimePoint /*now*/, const PresetDefinitionWritten &written)
{
    const std::string name = written.definition.preset.name.value();
    if (written.outcome == StoreOutcome::Done) {
        call(WriteAuditRecords {{written.definition.lastChange}});
        actions_.push_back(LogChange {"preset", fmt::format("{} defined", name)});
        actions_.push_back(
                AnswerCaller {written.request, std::vector<PresetDefinition> {written.definition}});
        return;
    }
    if (written.outcome == StoreOutcome::Conflict) {
        answer(written.request, ErrorKind::Conflict,
               fmt::format("Preset {} is not at the revision you saw. Look at `preset list`, then "
                           "decide again.",
                           name));
        return;
    }
    answer(written.request, ErrorKind::OutcomeUnknown,
           fmt::format("The store did not answer, so preset {} may have changed. Look at `preset "
                       "list` before you repeat it.",
                       name));
}

void PresetManager::on(TimePoint /*now*/, const AuditTrailRead &read)
{
    if (read.outcome == StoreOutcome::Done)
        actions_.push_back(AnswerCaller {read.request, read.changes});
    else
        answer(read.request, ErrorKind::Unavailable, storeUnanswered);
}

void PresetManager::onTick(TimePoint now)
{
    for (auto next = changes_.begin(); next != changes_.end();) {
        PresetChange &change = (next++)->second;
        change.onTick(now);
        updateChange(change);
    }
}

void PresetManager::updateChange(PresetChange &change)
{
    change.drainActions(actions_);
    if (change.isOpen())
        return;
    actions_.push_back(change.answer());
    if (change.isAccepted())
        publish(change);
    changes_.erase(ChangeId(change.id()));
}

void PresetManager::publish(const PresetChange &change)
{
    const PresetInForce &inForce = *change.latestRecord();
    for (const auto &[peer, state] : peers_)
        actions_.push_back(SendToPeer {peer, PeerPreset {inForce}});
    // The preceding change is recorded again, because the instance that made it may have
    // terminated before it recorded it.
    WriteAuditRecords records {{inForce.change}};
    if (!inForce.history.empty())
        records.changes.push_back(inForce.history.front());
    call(std::move(records));
}

void PresetManager::onPeerRevision(TimePoint now, const InstanceId &peer, Revision revision)
{
    peers_[peer] = {revision, now};
    if (inForce_ && revision < inForce_->revision)
        actions_.push_back(SendToPeer {peer, PeerPreset {*inForce_}});
}

void PresetManager::answer(RequestId request, ErrorKind kind, std::string message)
{
    actions_.push_back(AnswerCaller {request, Error {kind, std::move(message)}});
}

void PresetManager::drainActions(Actions &actions)
{
    moveActions(actions_, actions);
}

} // namespace caraway
