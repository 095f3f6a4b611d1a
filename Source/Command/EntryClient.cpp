#include "Command/EntryClient.h"

#include "Messages/JobCodec.h"

#include <fmt/format.h>

#include <charconv>

namespace caraway {

namespace {

/// Exceeds the maximum wait_ms that an entry instance accepts.
constexpr Milliseconds responseTimeout(30'000);

} // namespace

Result<EntryClient> EntryClient::connect(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    Endpoint endpoint {address.substr(0, colon), 0};
    if (colon != std::string::npos) {
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), endpoint.port);
    }
    if (endpoint.port == 0) {
        return fail(
                ErrorKind::InvalidRequest,
                fmt::format("\"{}\" is not a valid address. Give --entry as host:port.", address));
    }
    return EntryClient(endpoint);
}

EntryClient::EntryClient(const Endpoint &endpoint)
    : endpoint_(endpoint)
    , client_(makeHttpClient(endpoint, responseTimeout))
{
}

Result<nlohmann::json> EntryClient::get(const std::string &path)
{
    return parseResponse(client_->Get(path));
}

Result<nlohmann::json> EntryClient::post(const std::string &path, const nlohmann::json &body)
{
    return parseResponse(client_->Post(path, body.dump(), "application/json"));
}

Result<nlohmann::json> EntryClient::put(const std::string &path, const nlohmann::json &body)
{
    return parseResponse(client_->Put(path, body.dump(), "application/json"));
}

Result<nlohmann::json> EntryClient::remove(const std::string &path)
{
    return parseResponse(client_->Delete(path));
}

Result<nlohmann::json> EntryClient::parseResponse(const httplib::Result &response) const
{
    if (!response) {
        return fail(ErrorKind::Unreachable,
                    fmt::format("No response from {}:{}. Check the address, or try another entry "
                                "instance.",
                                endpoint_.host, endpoint_.port));
    }
    BOOST_LEAF_AUTO(json, parseJson(response->body));
    // The error in a job report describes the job; the request itself succeeded.
    if (json.is_object() && json.contains("error") && !json.contains("state")) {
        BOOST_LEAF_AUTO(error, decodeError(json["error"]));
        return fail(error.kind, error.message);
    }
    return json;
}

} // namespace caraway
