#include "Duties/InstanceListDuty.h"

#include "Messages/FleetCodec.h"

#include <fmt/format.h>

namespace caraway {

InstanceListDuty::InstanceListDuty(EventRing &events, const Clock &clock,
                                   const ServeSettings &settings)
    : events_(events)
    , clock_(clock)
    , interval_(settings.listReadInterval)
    , client_(makeHttpClient(settings.instanceListEndpoint, settings.storeTimeout))
    , thread_([this] { run(); })
{
}

InstanceListDuty::~InstanceListDuty()
{
    stop_.stop();
    thread_.join();
}

void InstanceListDuty::run()
{
    do
        readOnce();
    while (stop_.sleepUnlessStopped(interval_));
}

void InstanceListDuty::readOnce()
{
    const TimePoint readAt = clock_.now();
    const httplib::Result response = client_->Get("/instances");
    if (!response || response->status != 200)
        return;
    const auto offer = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(decoded, decodeInstanceList(response->body));
        if (decoded.malformed != malformed_) {
            for (const std::string &entry : decoded.malformed)
                fmt::print(stderr, "Ignoring a malformed entry of the instance list, {}\n", entry);
        }
        malformed_ = std::move(decoded.malformed);
        events_.offer(InstanceListRead {std::move(decoded.list), readAt});
        return {};
    };
    recoverFrom(offer, [](const Error &error) {
        fmt::print(stderr, "The instance list is malformed: {}\n", error.message);
    });
}

} // namespace caraway
