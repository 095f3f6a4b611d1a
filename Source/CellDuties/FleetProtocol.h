#pragma once

#include "Cell/CallerMessages.h"
#include "Cell/StoreCalls.h"
#include "Cell/WorkerCalls.h"
#include "CellDuties/HttpMessages.h"

#include <concepts>
#include <optional>
#include <variant>

namespace caraway::cell {

/// Translates between the scheduler's types and the HTTP messages of a fleet's store, workers,
/// policy service and callers. A protocol makes no decisions; each object is used by one thread.
template<class Protocol>
concept FleetProtocol
        = requires(Protocol protocol, const StoreRequest &store, const WorkerRequest &worker,
                   const ApprovalRequest &approval, const CallerAnswer &answer,
                   HttpRequest &&request, HttpResponse &&response)
{
    {
        protocol.encodeStore(store)
        } -> std::same_as<HttpRequest>;
    {
        protocol.decodeStore(store, std::move(response))
        } -> std::same_as<StoreReply>;
    {
        protocol.encodeWorker(worker)
        } -> std::same_as<HttpRequest>;
    {
        protocol.decodeWorker(worker, std::move(response))
        } -> std::same_as<WorkerReply>;
    {
        protocol.encodeApproval(approval)
        } -> std::same_as<HttpRequest>;
    {
        protocol.decodeApproval(std::move(response))
        } -> std::same_as<ApprovalReply>;
    {
        protocol.decodeCaller(CallerRequestId(), std::move(request))
        } -> std::same_as<std::variant<CallerRequest, HttpReply>>;
    {
        protocol.encodeAnswer(answer)
        } -> std::same_as<HttpReply>;
};

} // namespace caraway::cell
