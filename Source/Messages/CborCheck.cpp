#include "Messages/CborCheck.h"

#include <array>
#include <cstdint>

namespace caraway {

namespace {

enum MajorType : unsigned { ByteString = 2, Text = 3, Array = 4, Map = 5, Tag = 6, Simple = 7 };

constexpr unsigned majorShift = 5;
constexpr unsigned argumentMask = 0x1F;
/// Arguments below this one stand for themselves; from it on 1, 2, 4 or 8 bytes follow.
constexpr unsigned firstLongArgument = 24;
constexpr unsigned lastLongArgument = 27;

/// Walks the items of a frame one after the other, with a stack of fixed size.
class CborWalker
{
public:
    explicit CborWalker(std::string_view bytes)
        : rest_(bytes)
    {
    }

    bool walk()
    {
        do {
            if (!enterItem())
                return false;
            leaveFullContainers();
        } while (depth_ > 0);
        return rest_.empty();
    }

private:
    bool enterItem()
    {
        if (rest_.empty())
            return false;
        const auto head = static_cast<std::uint8_t>(rest_.front());
        rest_.remove_prefix(1);
        const unsigned major = head >> majorShift;
        std::uint64_t argument = 0;
        if (major == Tag || !readArgument(head & argumentMask, argument))
            return false;
        if (depth_ > 0)
            --missing_[depth_ - 1];
        if (major == ByteString || major == Text)
            return skip(argument);
        if (major == Array || major == Map)
            return openContainer(major, argument);
        return true;
    }

    /// Lengths of no stated end (argument 31) are refused: our own encoder writes none.
    bool readArgument(unsigned code, std::uint64_t &argument)
    {
        argument = code;
        if (code < firstLongArgument)
            return true;
        if (code > lastLongArgument)
            return false;
        const std::size_t size = std::size_t(1) << (code - firstLongArgument);
        if (rest_.size() < size)
            return false;
        argument = 0;
        for (const char byte : rest_.substr(0, size))
            argument = argument << 8 | static_cast<std::uint8_t>(byte);
        rest_.remove_prefix(size);
        return true;
    }

    bool skip(std::uint64_t count)
    {
        if (count > rest_.size())
            return false;
        rest_.remove_prefix(static_cast<std::size_t>(count));
        return true;
    }

    bool openContainer(unsigned major, std::uint64_t count)
    {
        // Each element takes at least one byte, so that a huge claim fails here.
        if (count > rest_.size() || depth_ == missing_.size())
            return false;
        missing_[depth_++] = major == Map ? count * 2 : count;
        return true;
    }

    void leaveFullContainers()
    {
        while (depth_ > 0 && missing_[depth_ - 1] == 0)
            --depth_;
    }

    std::string_view rest_;
    std::array<std::uint64_t, maxMessageDepth> missing_ {};
    std::size_t depth_ = 0;
};

} // namespace

Result<void> checkCbor(std::string_view bytes)
{
    if (CborWalker(bytes).walk())
        return {};
    return fail(ErrorKind::InvalidMessage,
                "The frame is not whole CBOR of bounded depth. Check the peer's release.");
}

} // namespace caraway
