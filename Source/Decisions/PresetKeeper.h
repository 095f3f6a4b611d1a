#pragma once

#include "Decisions/Actions.h"

#include <optional>

namespace caraway {

/// Keeps the preset in force: takes newer revisions only, whoever brings them.
class PresetKeeper
{
public:
    /// Takes \a inForce if it is newer than what is known; true when it did.
    bool learn(const PresetInForce &inForce);
    const std::optional<PresetInForce> &inForce() const { return inForce_; }
    Revision revision() const { return inForce_ ? inForce_->revision : Revision(); }

    /// Starts an operator's change, or refuses it when another came first.
    void use(RequestId request, const UsePreset &change, Actions &actions) const;
    /// Tells the operator how the write of a change ended.
    void onWritten(const PresetInForceWritten &written, Actions &actions);

private:
    std::optional<PresetInForce> inForce_;
};

} // namespace caraway
