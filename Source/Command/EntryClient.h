#pragma once

#include "Core/Error.h"
#include "Decisions/Fleet.h"
#include "Duties/HttpClient.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace caraway {

/// HTTP client for one entry instance. A call returns the JSON body of the response. It fails with
/// Unreachable if there is no response, and with the error in the response if there is one.
class EntryClient
{
public:
    /// \a address has the form "host:port"; any other fails with InvalidRequest. Sends nothing.
    static Result<EntryClient> connect(const std::string &address);

    Result<nlohmann::json> get(const std::string &path);
    Result<nlohmann::json> post(const std::string &path, const nlohmann::json &body);
    Result<nlohmann::json> put(const std::string &path, const nlohmann::json &body);
    Result<nlohmann::json> remove(const std::string &path);

private:
    explicit EntryClient(const Endpoint &endpoint);
    Result<nlohmann::json> parseResponse(const httplib::Result &response) const;

    Endpoint endpoint_;
    std::unique_ptr<httplib::Client> client_;
};

} // namespace caraway
