#pragma once

#include "Decisions/Actions.h"
#include "Messages/ObjectReader.h"

/// Encodings of what callers and operators send and get.
namespace caraway {

/// Body of POST /v1/jobs: a job, and wait_ms beside it.
Result<SubmitJob> decodeSubmit(std::string_view body);
/// Body of POST /v1/preset-in-force.
Result<UsePreset> decodeUsePreset(std::string_view body);
/// Body of PUT /v1/presets/NAME; the name in the path has to be the preset's own.
Result<DefinePreset> decodeDefinePreset(std::string_view body, const PresetName &name);
/// Parameter day of GET /v1/audit; empty for today.
Result<AuditDay> decodeAuditDay(const std::string &text);

/// An answer as HTTP carries it.
struct CallerAnswer
{
    int status = 0;
    std::string body;
};
CallerAnswer encodeAnswer(const AnswerCaller &answer);
CallerAnswer encodeErrorAnswer(const Error &error);

} // namespace caraway
