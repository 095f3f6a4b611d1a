#include "Messages/ObjectReader.h"

#include "Messages/CborCheck.h"

#include <fmt/format.h>

#include <algorithm>

namespace caraway {

namespace {

const nlohmann::json nullValue;

/// Whether the brackets outside of string literals nest at most maxMessageDepth deep.
bool isWithinDepthLimit(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\')
            ++i;
        else if (c == '"')
            inString = !inString;
        else if (!inString && (c == '[' || c == '{') && ++depth > maxMessageDepth)
            return false;
        else if (!inString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return true;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json &object, std::string what)
    : object_(object)
    , what_(std::move(what))
{
    if (!object_.is_object())
        firstError_ = fmt::format("The {} is not an object. Send an object.", what_);
}

const nlohmann::json *ObjectReader::find(const std::string &field)
{
    knownFields_.insert(field);
    if (!object_.is_object())
        return nullptr;
    const auto found = object_.find(field);
    return found == object_.end() ? nullptr : &*found;
}

bool ObjectReader::has(const std::string &field) const
{
    return object_.is_object() && object_.contains(field);
}

std::string ObjectReader::text(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (!value)
        addError(field, "is missing", "Add it");
    else if (!value->is_string())
        addError(field, "is not a string", "Send a string");
    return value && value->is_string() ? value->get<std::string>() : std::string();
}

std::string ObjectReader::textOr(const std::string &field, std::string fallback)
{
    return has(field) ? text(field) : (knownFields_.insert(field), std::move(fallback));
}

std::int64_t ObjectReader::number(const std::string &field, std::int64_t minimum,
                                  std::int64_t maximum)
{
    const nlohmann::json *value = find(field);
    if (!value) {
        addError(field, "is missing", "Add it");
        return minimum;
    }
    const bool tooLarge = value->is_number_unsigned()
            && value->get<std::uint64_t>()
                    > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value->is_number_integer() || tooLarge) {
        addError(field, "is not a whole number in range", "Send a whole number");
        return minimum;
    }
    const auto number = value->get<std::int64_t>();
    if (number < minimum || number > maximum) {
        addError(field, fmt::format("is {}", number),
                 fmt::format("Use {} to {}", minimum, maximum));
        return minimum;
    }
    return number;
}

std::int64_t ObjectReader::numberOr(const std::string &field, std::int64_t fallback,
                                    std::int64_t minimum, std::int64_t maximum)
{
    return has(field) ? number(field, minimum, maximum) : (knownFields_.insert(field), fallback);
}

bool ObjectReader::flagOr(const std::string &field, bool fallback)
{
    const nlohmann::json *value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean())
        addError(field, "is not true or false", "Send true or false");
    return value->is_boolean() ? value->get<bool>() : fallback;
}

const nlohmann::json &ObjectReader::object(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (value && value->is_object())
        return *value;
    addError(field, "is not an object", "Send an object");
    return nullValue;
}

const nlohmann::json &ObjectReader::array(const std::string &field)
{
    const nlohmann::json *value = find(field);
    if (value && value->is_array())
        return *value;
    addError(field, "is not an array", "Send an array");
    return nullValue;
}

std::size_t ObjectReader::choice(const std::string &field,
                                 const std::vector<std::string_view> &names, std::size_t fallback)
{
    if (!has(field)) {
        knownFields_.insert(field);
        return fallback;
    }
    const std::string value = text(field);
    const auto found = std::ranges::find(names, value);
    if (found != names.end())
        return static_cast<std::size_t>(found - names.begin());
    addError(field, fmt::format("is \"{}\"", value),
             fmt::format("Use one of {}", fmt::join(names, ", ")));
    return fallback;
}

void ObjectReader::addError(const std::string &field, std::string_view problem,
                            std::string_view remedy)
{
    if (!firstError_)
        firstError_ = fmt::format("Field \"{}\" of the {} {}. {}.", field, what_, problem, remedy);
}

Result<void> ObjectReader::finish()
{
    if (!firstError_) {
        for (const auto &[field, value] : object_.items()) {
            if (!knownFields_.contains(field))
                addError(field, "is unknown", "Remove it or correct its name");
        }
    }
    if (firstError_)
        return fail(ErrorKind::InvalidMessage, *firstError_);
    return {};
}

bool isUtf8(std::string_view text)
{
    constexpr char firstPrintable = 0x20;
    std::string literal = "\"";
    for (const char c : text) {
        const bool isEscaped = (c >= 0 && c < firstPrintable) || c == '"' || c == '\\';
        literal.push_back(isEscaped ? ' ' : c);
    }
    return nlohmann::json::accept(literal + "\"");
}

Result<nlohmann::json> parseJson(std::string_view text)
{
    if (!isWithinDepthLimit(text)) {
        return fail(ErrorKind::InvalidMessage,
                    fmt::format("The text is nested deeper than {} levels. Reduce the nesting.",
                                maxMessageDepth));
    }
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded())
        return fail(ErrorKind::InvalidMessage, "The text is not JSON. Send well-formed JSON.");
    return parsed;
}

} // namespace caraway
