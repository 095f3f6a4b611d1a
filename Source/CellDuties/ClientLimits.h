#pragma once

#include "Cell/CellSettings.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace caraway::cell {

/// Why a client was refused or its connection closed.
enum class ClientRefusal {
    /// The listener has as many connections as it may have.
    Connections,
    /// Bodies of other requests use the memory that is reserved for them.
    Memory,
    BodySize,
    HeaderSize,
    HeaderFields,
    /// Requests were sent ahead of the answers to earlier ones.
    RequestsAhead,
    /// No complete request arrived, or an answer was not read, in time.
    Timeout,
};

/// What the clients of all listeners of a process use together, against its limits. The memory is
/// counted on the thread of the listeners, the refusals are read on any thread.
class ClientLimits
{
public:
    static constexpr std::size_t refusals = static_cast<std::size_t>(ClientRefusal::Timeout) + 1;

    explicit ClientLimits(const CellSettings &settings)
        : settings_(settings)
    {
    }

    std::size_t maxConnections() const
    {
        return static_cast<std::size_t>(settings_.clientConnections());
    }
    std::size_t maxHeaderFields() const { return static_cast<std::size_t>(settings_.headerFields); }
    std::size_t maxRequestsAhead() const
    {
        return static_cast<std::size_t>(settings_.requestsAhead);
    }

    /// Reserves memory for a body; false when too little of it is left.
    bool reserve(std::size_t bytes)
    {
        if (used_ + bytes > static_cast<std::size_t>(settings_.requestMemory().count()))
            return false;
        used_ += bytes;
        return true;
    }
    void release(std::size_t bytes) { used_ -= bytes; }

    void count(ClientRefusal reason) { ++counts_[static_cast<std::size_t>(reason)]; }
    /// The refusals since the start of the process, in the Prometheus text format.
    std::string render() const;
    std::uint64_t total() const;

private:
    CellSettings settings_;
    std::size_t used_ = 0;
    std::array<std::atomic<std::uint64_t>, refusals> counts_ = {};
};

} // namespace caraway::cell
