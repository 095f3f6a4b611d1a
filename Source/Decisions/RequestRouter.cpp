#include "Decisions/RequestRouter.h"

namespace caraway {

namespace {

/// Time for a holder to reply, in addition to the caller's own wait.
constexpr Milliseconds holderReplyTimeout(5000);

} // namespace

void RequestRouter::submit(TimePoint now, RequestId id, const SubmitJob &body)
{
    const ShardId shard = membership_.homeShard(body.spec.name);
    forward(now, {shard, id, HolderSubmit {body.spec, body.wait, body.isFirst}}, body.spec.name,
            body.wait);
}

void RequestRouter::query(TimePoint now, RequestId id, const QueryJob &body)
{
    const ShardId shard = membership_.homeShard(body.name);
    forward(now, {shard, id, HolderQuery {body.name, body.wait}}, body.name, body.wait);
}

void RequestRouter::cancel(TimePoint now, RequestId id, const CancelJob &body)
{
    const ShardId shard = membership_.homeShard(body.name);
    forward(now, {shard, id, HolderCancel {body.name}}, body.name, Milliseconds());
}

void RequestRouter::forward(TimePoint now, HolderRequest request, const JobName &job,
                            Milliseconds wait)
{
    const RequestId id = request.id;
    ForwardedRequest forwarded(std::move(request), job, now + wait + holderReplyTimeout);
    ForwardedRequest &inserted = openRequests_.try_emplace(id, std::move(forwarded)).first->second;
    updateHolder(now, inserted);
    inserted.drainActions(actions_);
}

void RequestRouter::updateHolder(TimePoint now, ForwardedRequest &request) const
{
    const ShardRecord *record = membership_.findRecord(request.shard());
    if (record && !record->released && !record->holder.isEmpty())
        request.onHolder(now, record->holder, record->epoch);
}

void RequestRouter::onReply(const HolderReply &reply)
{
    const auto found = openRequests_.find(reply.id);
    if (found == openRequests_.end())
        return;
    found->second.onReply(reply);
    found->second.drainActions(actions_);
    if (!found->second.isOpen())
        openRequests_.erase(found);
}

void RequestRouter::onTick(TimePoint now)
{
    for (auto &[id, request] : openRequests_) {
        updateHolder(now, request);
        request.onTick(now);
        request.drainActions(actions_);
    }
    std::erase_if(openRequests_, [](const auto &entry) { return !entry.second.isOpen(); });
}

void RequestRouter::drainActions(Actions &actions)
{
    moveActions(actions_, actions);
}

} // namespace caraway
