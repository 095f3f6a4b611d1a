#pragma once

#include "Decisions/Actions.h"
#include "Messages/ObjectReader.h"

/// JSON encoding of the messages to and from workers.
namespace caraway {

/// The checksum of a task's answer: 64-bit FNV-1a with the finalizer of MurmurHash3, as 16
/// hexadecimal digits.
std::string checksumOf(std::string_view content);

/// Body of POST /v1/tasks. The worker must not start the task once \a remaining has passed.
std::string encodeStart(const StartTask &start, Milliseconds remaining, const Endpoint &reportTo);
/// Body of POST /v1/heartbeat.
std::string encodeHeartbeat(const HeartbeatWorker &heartbeat);
Result<HeartbeatAnswered> decodeHeartbeatAnswer(std::string_view body);
/// Body of POST /v1/reports, which workers send to an entry instance.
Result<TaskReported> decodeTaskReport(std::string_view body);

} // namespace caraway
