#pragma once

#include "Cell/StoreCalls.h"
#include "Cell/WorkerCalls.h"

namespace caraway::tests {

// The bodies of requests by way of JSON trees: the model that the product's codec has to equal.

std::string encodeWorkerByTree(const cell::WorkerRequest &request);
std::string encodeApprovalByTree(const cell::ApprovalRequest &request);
std::string encodeCommitByTree(const cell::StoreCommit &commit);

} // namespace caraway::tests
