#pragma once

#include "Core/Clock.h"

#include <httplib.h>

#include <array>
#include <string>

namespace caraway {

/// A caller's connection, as a cpp-httplib stream. Reading a request and writing its response
/// have one deadline each, which a slow connection does not extend with every byte.
class CallerStream : public httplib::Stream
{
public:
    CallerStream(socket_t socket, const Clock &clock);

    /// Restarts the deadlines, for the next request.
    void beginRequest();
    /// Whether bytes were received that read() has not returned yet.
    bool hasBufferedBytes() const { return begin_ < end_; }

    bool is_readable() const override
    {
        return hasBufferedBytes() || waitFor(readEvents, readDeadline_);
    }
    bool is_writable() const override { return waitFor(writeEvents, clock_.now() + writeTimeout); }
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return socket_; }

private:
    static constexpr Milliseconds readTimeout {2000};
    static constexpr Milliseconds writeTimeout {4000};
    static const short readEvents;
    static const short writeEvents;

    bool waitFor(short events, TimePoint deadline) const;

    socket_t socket_;
    const Clock &clock_;
    TimePoint readDeadline_;
    TimePoint writeDeadline_;
    bool isWriting_ = false;
    std::array<char, 4096> buffer_ {};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

} // namespace caraway
