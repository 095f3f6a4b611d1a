#pragma once

#include "Decisions/Actions.h"
#include "Messages/ObjectReader.h"

/// Encodings of what passes between the system and the workers.
namespace caraway {

/// The checksum of an answer: 64-bit FNV-1a, finished as in MurmurHash3, in
/// 16 hexadecimal digits.
std::string checksumOf(std::string_view content);

/// Body of POST /v1/tasks. \a remaining is the time left until the start is void.
std::string encodeStart(const StartTask &start, Milliseconds remaining, const Endpoint &reportTo);
/// Body of POST /v1/heartbeat.
std::string encodeHeartbeat(const HeartbeatWorker &heartbeat);
Result<HeartbeatAnswered> decodeHeartbeatAnswer(std::string_view body);
/// Body of POST /v1/reports, which workers send to an entry instance.
Result<TaskReported> decodeTaskReport(std::string_view body);

} // namespace caraway
