#pragma once

#include "Cell/Records.h"

#include <string>
#include <string_view>

namespace caraway::cell {

/// Encodes a record of the store as CBOR.
std::string encodeRecord(const RecordValue &value);
/// Decodes a record of type \a type; the result is Malformed when \a bytes are not one.
RecordValue decodeRecord(RecordType type, std::string_view bytes);

} // namespace caraway::cell
