#include "Duties/ConfigurationDuty.h"

#include "Core/Clock.h"
#include "Messages/StoreCodec.h"

namespace caraway {

ConfigurationDuty::ConfigurationDuty(EventRing &events, const ServeSettings &settings,
                                     MetricsDuty &metrics)
    : events_(events)
    , calls_(static_cast<std::size_t>(settings.outwardRingCapacity))
    , store_(settings.storeEndpoint, settings.storeTimeout, metrics)
    , thread_([this] { run(); })
{
}

ConfigurationDuty::~ConfigurationDuty()
{
    calls_.close();
    thread_.join();
}

void ConfigurationDuty::run()
{
    while (const std::optional<CallConfiguration> next = calls_.take())
        std::visit([this](const auto &body) { call(body); }, next->body);
}

void ConfigurationDuty::call(const ReadPresetInForce &read)
{
    const StoreReadResult stored = store_.read(presetInForceKey());
    auto inForce = decodeBody(stored, decodePresetInForceValue);
    const bool isMalformed = stored.body && !inForce;
    const StoreOutcome outcome = isMalformed ? StoreOutcome::Unanswered : stored.outcome;
    events_.offer(
            ConfigurationAnswered {PresetInForceRead {read.change, outcome, std::move(inForce)}});
}

void ConfigurationDuty::call(const WritePresetInForce &write)
{
    const StoreWriteResult result = store_.compareAndSet(presetInForceKey(), write.next.revision,
                                                         encodePresetInForce(write.next).dump());
    PresetInForceWritten written {write.next, result.outcome};
    if (result.outcome == StoreOutcome::Done)
        written.inForce.revision = result.revision;
    events_.offer(ConfigurationAnswered {std::move(written)});
}

void ConfigurationDuty::call(const ReadPresetDefinitions &read)
{
    const StoreReadResult range = store_.readRange(presetDefinitionKeyPrefix());
    auto decoded = decodeBody(range, decodePresetDefinitions);
    const StoreOutcome outcome = decoded ? StoreOutcome::Done : StoreOutcome::Unanswered;
    PresetDefinitionsRead answer {read.request, outcome, {}};
    if (decoded)
        answer.definitions = std::move(*decoded);
    events_.offer(ConfigurationAnswered {std::move(answer)});
}

void ConfigurationDuty::call(const WritePresetDefinition &write)
{
    const PresetDefinition &definition = write.definition;
    const StoreWriteResult result
            = store_.compareAndSet(presetDefinitionKey(definition.preset.name), definition.revision,
                                   encodePresetDefinition(definition).dump());
    PresetDefinitionWritten written {write.request, result.outcome, definition};
    if (result.outcome == StoreOutcome::Done)
        written.definition.revision = result.revision;
    events_.offer(ConfigurationAnswered {std::move(written)});
}

void ConfigurationDuty::call(const WriteAuditRecords &write)
{
    // A conflict means that the record exists already.
    for (const AuditRecord &change : write.changes)
        store_.compareAndSet(auditKey(change), Revision(), encodeAuditRecord(change).dump());
}

void ConfigurationDuty::call(const ReadAuditTrail &read)
{
    const AuditDay day = read.day.isEmpty() ? auditDayOf(Clock::wallClock()) : read.day;
    const StoreReadResult range = store_.readRange(auditKeyPrefix(day));
    auto decoded = decodeBody(range, decodeAuditTrail);
    const StoreOutcome outcome = decoded ? StoreOutcome::Done : StoreOutcome::Unanswered;
    AuditTrailRead answer {read.request, outcome, {}};
    if (decoded)
        answer.changes = std::move(*decoded);
    events_.offer(ConfigurationAnswered {std::move(answer)});
}

} // namespace caraway
