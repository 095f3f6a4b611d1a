#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace caraway {

/// A string identifier. Identifiers with different tags are distinct types.
template<class Tag>
class NameId
{
public:
    NameId() = default;
    explicit NameId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string &value() const { return value_; }
    bool isEmpty() const { return value_.empty(); }

    friend auto operator<=>(const NameId &, const NameId &) = default;

private:
    std::string value_;
};

/// A numeric identifier. Identifiers with different tags are distinct types.
template<class Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : value_(value)
    {
    }

    constexpr std::uint64_t value() const { return value_; }
    constexpr NumberId next() const { return NumberId(value_ + 1); }

    friend constexpr auto operator<=>(NumberId, NumberId) = default;

private:
    std::uint64_t value_ = 0;
};

using JobName = NameId<struct JobNameTag>;
using WorkerId = NameId<struct WorkerIdTag>;
using RackId = NameId<struct RackIdTag>;
using ZoneId = NameId<struct ZoneIdTag>;
using InstanceId = NameId<struct InstanceIdTag>;
using ShardId = NameId<struct ShardIdTag>;
using TeamId = NameId<struct TeamIdTag>;
using KindId = NameId<struct KindIdTag>;
using PresetName = NameId<struct PresetNameTag>;
using OperatorName = NameId<struct OperatorNameTag>;
using ChangeId = NameId<struct ChangeIdTag>;

/// Zero-based index of a task in its job.
using TaskIndex = NumberId<struct TaskIndexTag>;
/// Number of an attempt, one execution of a task on a worker. No two holders of a shard assign the
/// same number: see lastAttemptBefore().
using AttemptNumber = NumberId<struct AttemptNumberTag>;
/// Rises with each new holder of a shard; workers refuse lower ones.
using Epoch = NumberId<struct EpochTag>;
/// An uninterrupted lease of a worker by its holder. A worker never reuses an identifier.
using SessionId = NameId<struct SessionIdTag>;
/// Sequence number of a worker's replies to heartbeats within one session.
using HeartbeatNumber = NumberId<struct HeartbeatNumberTag>;
/// Revision of the platform's key-value store, or of a record in it.
using Revision = NumberId<struct RevisionTag>;
/// Identifies a caller's request; unique within one process.
using RequestId = NumberId<struct RequestIdTag>;
/// Identifies a call to an outside system; unique within one process.
using CallId = NumberId<struct CallIdTag>;

/// The attempt number directly below the first one of the holder of \a epoch. Each epoch has
/// its own range of 2^16 numbers.
constexpr AttemptNumber lastAttemptBefore(Epoch epoch)
{
    constexpr unsigned attemptBits = 16;
    return AttemptNumber(epoch.value() << attemptBits);
}

/// Identifies a task of a job.
struct TaskId
{
    JobName job;
    TaskIndex index;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

} // namespace caraway

template<class Tag>
struct std::hash<caraway::NameId<Tag>>
{
    std::size_t operator()(const caraway::NameId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template<class Tag>
struct std::hash<caraway::NumberId<Tag>>
{
    std::size_t operator()(caraway::NumberId<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value());
    }
};

template<>
struct std::hash<caraway::TaskId>
{
    std::size_t operator()(const caraway::TaskId &id) const noexcept
    {
        constexpr std::size_t hashMultiplier = 0x9E3779B97F4A7C15ULL;
        return std::hash<caraway::JobName>()(id.job) ^ (id.index.value() + 1) * hashMultiplier;
    }
};
