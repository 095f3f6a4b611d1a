#include "Cell/CallerAuthentication.h"

namespace caraway::cell {

namespace {

/// From the judgement until the request has taken effect.
constexpr Milliseconds applyMargin {200};

} // namespace

bool CallerAuthentication::isConfigurationCurrent() const
{
    const CellConfiguration *current = configuration_.current();
    if (!current || !current->hasAccounts)
        return true;
    const Milliseconds age = context_.now() - configuration_.confirmedAt();
    return age < context_.settings().configurationApply - applyMargin;
}

Authentication CallerAuthentication::authenticate(const CallerRequest &request,
                                                  const Queue &queue) const
{
    if (!configuration_.current()->hasAccounts || queue.isPublic)
        return {};
    const ClientAccount *account = configuration_.accountWithKey(request.key);
    if (!account)
        return {Authentication::Outcome::UnknownKey, {}};
    return {Authentication::Outcome::Permitted, account->id};
}

} // namespace caraway::cell
