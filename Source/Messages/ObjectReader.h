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

/// Reads the fields of one JSON (or CBOR) object and checks each. Errors are collected:
/// the first is returned by finish(), which also refuses fields that nobody read.
class ObjectReader
{
public:
    /// \a what names the object in errors, for example "job".
    ObjectReader(const nlohmann::json &object, std::string what);

    std::string text(const std::string &field);
    std::string textOr(const std::string &field, std::string fallback);
    std::int64_t number(const std::string &field, std::int64_t least = 0,
                        std::int64_t most = std::numeric_limits<std::int64_t>::max());
    std::int64_t numberOr(const std::string &field, std::int64_t fallback, std::int64_t least = 0,
                          std::int64_t most = std::numeric_limits<std::int64_t>::max());
    bool flagOr(const std::string &field, bool fallback);
    /// The object or array in \a field; null where it is missing or of another type.
    const nlohmann::json &object(const std::string &field);
    const nlohmann::json &array(const std::string &field);
    bool has(const std::string &field) const;

    template<class Id>
    Id id(const std::string &field)
    {
        std::string value = text(field);
        if (value.empty())
            note(field, "is empty", "Give it a name");
        return Id(std::move(value));
    }

    /// Position of the field's text in \a names.
    std::size_t choice(const std::string &field, const std::vector<std::string_view> &names,
                       std::size_t fallback);

    /// Records an error unless there is one already.
    void note(const std::string &field, std::string_view problem, std::string_view remedy);
    /// Fails with the first error, or with an unknown field.
    Result<void> finish();

private:
    const nlohmann::json *find(const std::string &field);

    const nlohmann::json &object_;
    std::string what_;
    std::set<std::string> read_;
    std::optional<std::string> problem_;
};

/// Whether \a text is well-formed UTF-8, and so can stand in a message.
bool isUtf8(std::string_view text);

/// Parses JSON text; the error says where it is malformed.
Result<nlohmann::json> parseJson(std::string_view text);

} // namespace caraway
