#pragma once

#include "Decisions/ForwardedRequest.h"
#include "Decisions/Membership.h"

#include <unordered_map>

namespace caraway {

/// Forwards callers' requests to the holders of their shards, and again to each new holder.
class RequestRouter
{
public:
    explicit RequestRouter(const Membership &membership)
        : membership_(membership)
    {
    }

    void submit(TimePoint now, RequestId id, const SubmitJob &body);
    void query(TimePoint now, RequestId id, const QueryJob &body);
    void cancel(TimePoint now, RequestId id, const CancelJob &body);
    void onReply(const HolderReply &reply);
    void onTick(TimePoint now);

    bool hasOpenRequests() const { return !openRequests_.empty(); }
    std::size_t openRequestCount() const { return openRequests_.size(); }
    void drainActions(Actions &actions);

private:
    void forward(TimePoint now, HolderRequest request, const JobName &job, Milliseconds wait);
    void updateHolder(TimePoint now, ForwardedRequest &request) const;

    const Membership &membership_;
    std::unordered_map<RequestId, ForwardedRequest> openRequests_;
    Actions actions_;
};

} // namespace caraway
