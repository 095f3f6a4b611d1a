#pragma once

#include "fleet.h"

namespace review {

using Case = int (*)(Record &record, bool hasTrouble);
const std::map<std::string, Case> &cases();

int reservedForGang(Record &record, bool hasTrouble);
int stuckApprovals(Record &record, bool hasTrouble);
int phantomArrivals(Record &record, bool hasTrouble);

} // namespace review
