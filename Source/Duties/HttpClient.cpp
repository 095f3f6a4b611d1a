#include "Duties/HttpClient.h"

#include <chrono>

namespace caraway {

std::unique_ptr<httplib::Client> makeHttpClient(const Endpoint &endpoint, Milliseconds timeout)
{
    auto client = std::make_unique<httplib::Client>(endpoint.host, endpoint.port);
    setTimeouts(*client, timeout);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return client;
}

void setTimeouts(httplib::Client &client, Milliseconds timeout)
{
    const std::chrono::milliseconds limit(timeout.count());
    client.set_connection_timeout(limit);
    client.set_read_timeout(limit);
    client.set_write_timeout(limit);
}

} // namespace caraway
