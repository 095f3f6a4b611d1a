#pragma once

#include "Core/Error.h"
#include "Core/Ids.h"
#include "Core/Units.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace caraway {

/// Reads and validates the fields of a decoded JSON or CBOR object. A read of an invalid field
/// returns a substitute value; finish() then fails with the first error. finish() also rejects
/// unknown fields, which are those that were never read.
class ObjectReader
{
public:
    /// \a what names the object in errors, for example "job".
    ObjectReader(const nlohmann::json &object, std::string what);

    std::string text(const std::string &field);
    std::string textOr(const std::string &field, std::string fallback);
    std::int64_t number(const std::string &field, std::int64_t minimum = 0,
                        std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    std::int64_t numberOr(const std::string &field, std::int64_t fallback, std::int64_t minimum = 0,
                          std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    bool flagOr(const std::string &field, bool fallback);
    /// The object or array in \a field; an error and null if it is missing or of another type.
    const nlohmann::json &object(const std::string &field);
    const nlohmann::json &array(const std::string &field);
    bool has(const std::string &field) const;

    template<class Id>
    Id id(const std::string &field)
    {
        std::string value = text(field);
        if (value.empty())
            addError(field, "is empty", "Use a non-empty name");
        return Id(std::move(value));
    }

    /// Index in \a names of the field's value; \a fallback if the field is missing.
    std::size_t choice(const std::string &field, const std::vector<std::string_view> &names,
                       std::size_t fallback);

    /// Records an error, unless an earlier one is recorded.
    void addError(const std::string &field, std::string_view problem, std::string_view remedy);
    /// Fails with InvalidMessage if there is an error or an unknown field.
    Result<void> finish();

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &object_;
    std::string what_;
    std::set<std::string> knownFields_;
    std::optional<std::string> firstError_;
};

/// Whether \a text is well-formed UTF-8, as strings in messages must be.
bool isUtf8(std::string_view text);

/// Parses JSON text; fails with InvalidMessage if it is malformed or nested deeper than
/// maxMessageDepth.
Result<nlohmann::json> parseJson(std::string_view text);

} // namespace caraway
