#pragma once

#include "Cell/Records.h"

#include <nlohmann/json.hpp>

#include <string>

namespace caraway::cell {

/// The tree from which records and frames are written as CBOR. Its decoders throw a std::exception
/// when a value is malformed.
using Json = nlohmann::json;

template<class Tag>
Json encode(const NameId<Tag> &id)
{
    return id.value();
}
template<class Tag>
Json encode(NumberId<Tag> id)
{
    return id.value();
}
template<class Unit>
Json encode(Quantity<Unit> quantity)
{
    return quantity.count();
}

template<class Id>
Id decodeName(const Json &json)
{
    return Id(json.get<std::string>());
}
template<class Id>
Id decodeNumber(const Json &json)
{
    return Id(json.get<std::uint64_t>());
}
template<class Amount>
Amount decodeQuantity(const Json &json)
{
    return Amount(json.get<std::int64_t>());
}
Json encode(const Address &address);
Address decodeAddress(const Json &json);
Json encode(const ProcessId &process);
ProcessId decodeProcess(const Json &json);
Json encode(const AcceptedJob &job);
AcceptedJob decodeJob(const Json &json);
/// The whole configuration, with the account keys; for the links between instances only.
Json encode(const CellConfiguration &configuration);
CellConfiguration decodeConfiguration(const Json &json);
JobState decodeState(const Json &json);

std::string toBytes(const Json &json);

} // namespace caraway::cell
