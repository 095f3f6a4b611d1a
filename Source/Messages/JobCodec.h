#pragma once

#include "Decisions/Job.h"
#include "Messages/ObjectReader.h"

/// JSON encoding of jobs and job reports in the messages of callers, workers and peers.
namespace caraway {

nlohmann::json encodeResources(const Resources &resources);
/// \a what names the object in errors, for example "team's quota".
Result<Resources> decodeResources(const nlohmann::json &json, std::string_view what);

nlohmann::json encodeJobSpec(const JobSpec &spec);
Result<JobSpec> decodeJobSpec(const nlohmann::json &json);

nlohmann::json encodeError(const Error &error);
Result<Error> decodeError(const nlohmann::json &json);

nlohmann::json encodeJobReport(const JobReport &report);
Result<JobReport> decodeJobReport(const nlohmann::json &json);

} // namespace caraway
