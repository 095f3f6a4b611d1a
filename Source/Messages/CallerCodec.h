#pragma once

#include "Decisions/Actions.h"
#include "Messages/ObjectReader.h"

/// JSON encoding of the requests of callers and operators and of the responses to them.
namespace caraway {

/// Body of POST /v1/jobs: the job, and optionally first and wait_ms.
Result<SubmitJob> decodeSubmit(std::string_view body);
/// Body of POST /v1/preset-in-force.
Result<UsePreset> decodeUsePreset(std::string_view body);
/// Body of PUT /v1/presets/NAME; fails with InvalidRequest unless the preset has the name \a name
/// from the path.
Result<DefinePreset> decodeDefinePreset(std::string_view body, const PresetName &name);
/// Parameter day (YYYY-MM-DD) of GET /v1/audit; empty for today.
Result<AuditDay> decodeAuditDay(const std::string &text);

/// Status code and body of an HTTP response.
struct CallerResponse
{
    int status = 0;
    std::string body;
};
CallerResponse encodeResponse(const AnswerCaller &answer);
CallerResponse encodeErrorResponse(const Error &error);

} // namespace caraway
