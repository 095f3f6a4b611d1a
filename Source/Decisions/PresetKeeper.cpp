#include "Decisions/PresetKeeper.h"

#include <fmt/format.h>

namespace caraway {

bool PresetKeeper::learn(const PresetInForce &inForce)
{
    if (inForce.revision <= revision())
        return false;
    inForce_ = inForce;
    return true;
}

void PresetKeeper::use(RequestId request, const UsePreset &change, Actions &actions) const
{
    if (change.expected && *change.expected != revision()) {
        const std::string message = fmt::format(
                "The preset in force is at revision {}, not {}. Look at `preset show`, then decide "
                "again.",
                revision().value(), change.expected->value());
        actions.push_back(AnswerCaller {request, Error {ErrorKind::Conflict, message}});
        return;
    }
    PresetInForce next {revision(), change.preset, change.change};
    if (inForce_)
        next.change.from = inForce_->preset.name;
    next.change.to = change.preset.name;
    actions.push_back(CallStore {WritePresetInForce {request, std::move(next)}});
}

void PresetKeeper::onWritten(const PresetInForceWritten &written, Actions &actions)
{
    if (written.outcome == StoreOutcome::Done) {
        learn(written.inForce);
        actions.push_back(AnswerCaller {written.request, written.inForce});
        actions.push_back(RecordChange {"preset",
                                        fmt::format("{} in force at revision {}",
                                                    written.inForce.preset.name.value(),
                                                    written.inForce.revision.value())});
        return;
    }
    const bool lost = written.outcome == StoreOutcome::Conflict;
    const Error error = lost
            ? Error {ErrorKind::Conflict,
                     "Another operator changed the preset first. Look at `preset show`, then "
                     "decide again."}
            : Error {ErrorKind::FateUnknown,
                     "The store did not answer, so the change may be in force. Look at `preset "
                     "show` before you repeat it."};
    actions.push_back(AnswerCaller {written.request, error});
}

} // namespace caraway
