#pragma once

#include "Cell/JobSpec.h"
#include "Cell/StoreCalls.h"
#include "Cell/WorkerCalls.h"
#include "CellDuties/HttpMessages.h"

namespace caraway::tests {

// The platform's messages by way of JSON trees: the model that the product's codec has to equal.

cell::WorkerReply decodeWorkerByTree(const cell::WorkerRequest &request,
                                     const cell::HttpResponse &response);
cell::StoreReply decodeStoreByTree(const cell::StoreRequest &request,
                                   const cell::HttpResponse &response);
/// Decodes a submission; nothing when it is malformed.
std::optional<cell::JobSpec> decodeJobByTree(const cell::JobId &id, const std::string &body);

// The bodies of requests.

std::string encodeWorkerByTree(const cell::WorkerRequest &request);
std::string encodeApprovalByTree(const cell::ApprovalRequest &request);
std::string encodeCommitByTree(const cell::StoreCommit &commit);

} // namespace caraway::tests
