#pragma once

#include "Core/Clock.h"

#include <httplib.h>

#include <array>
#include <string>

namespace caraway {

/// A caller's connection as cpp-httplib reads and writes it. Reading one request and writing
/// one answer each end by a deadline, however slowly the bytes come or go.
class CallerStream : public httplib::Stream
{
public:
    CallerStream(socket_t socket, const Clock &clock);

    /// Gives the next request its own time.
    void beginRequest();
    /// Whether bytes of a further request were read already.
    bool hasBuffered() const { return begin_ < end_; }

    bool is_readable() const override { return hasBuffered() || waitFor(readEvents, readBy_); }
    bool is_writable() const override { return waitFor(writeEvents, clock_.now() + writeLimit); }
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return socket_; }

private:
    static constexpr Milliseconds readLimit {2000};
    static constexpr Milliseconds writeLimit {4000};
    static const short readEvents;
    static const short writeEvents;

    bool waitFor(short events, TimePoint until) const;

    socket_t socket_;
    const Clock &clock_;
    TimePoint readBy_;
    TimePoint writeBy_;
    bool isWriting_ = false;
    std::array<char, 4096> buffer_ {};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

} // namespace caraway
