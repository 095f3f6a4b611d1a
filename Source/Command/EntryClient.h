#pragma once

#include "Core/Error.h"
#include "Decisions/Fleet.h"
#include "Duties/HttpClient.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace caraway {

/// A command's connection to an entry instance.
class EntryClient
{
public:
    /// \a address is "host:port".
    static Result<EntryClient> connect(const std::string &address);

    Result<nlohmann::json> get(const std::string &path);
    Result<nlohmann::json> post(const std::string &path, const nlohmann::json &body);
    Result<nlohmann::json> put(const std::string &path, const nlohmann::json &body);
    Result<nlohmann::json> remove(const std::string &path);

private:
    explicit EntryClient(const Endpoint &endpoint);
    Result<nlohmann::json> read(const httplib::Result &response) const;

    Endpoint endpoint_;
    std::unique_ptr<httplib::Client> client_;
};

} // namespace caraway
