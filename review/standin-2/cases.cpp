#include "cases.h"

namespace review {

const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> all {{"reserved-for-gang", reservedForGang},
                                                  {"stuck-approvals", stuckApprovals},
                                                  {"phantom-arrivals", phantomArrivals}};
    return all;
}

} // namespace review
