#pragma once

#include "Decisions/Job.h"
#include "Messages/ObjectReader.h"

/// Encodings of jobs and their reports, for callers, workers and peers alike.
namespace caraway {

nlohmann::json encodeResources(const Resources &resources);
Result<Resources> decodeResources(const nlohmann::json &json, std::string_view what);

nlohmann::json encodeJobSpec(const JobSpec &spec);
Result<JobSpec> decodeJobSpec(const nlohmann::json &json);

nlohmann::json encodeError(const Error &error);
Result<Error> decodeError(const nlohmann::json &json);

nlohmann::json encodeJobReport(const JobReport &report);
Result<JobReport> decodeJobReport(const nlohmann::json &json);

} // namespace caraway
