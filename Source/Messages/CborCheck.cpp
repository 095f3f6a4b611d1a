#include "Messages/CborCheck.h"

#include <array>
#include <cstdint>

namespace caraway {

namespace {

enum MajorType : unsigned { ByteString = 2, Text = 3, Array = 4, Map = 5, Tag = 6, Simple = 7 };

constexpr unsigned majorShift = 5;
constexpr unsigned additionalInfoMask = 0x1F;
/// The additional information of an initial byte (RFC 8949): below 24 it is the argument; 24 to 27
/// mean that the argument follows in 1, 2, 4 or 8 bytes.
constexpr unsigned oneByteArgument = 24;
constexpr unsigned eightByteArgument = 27;

/// Reads the items of a frame in sequence, with a stack of fixed size for open containers.
class CborValidator
{
public:
    explicit CborValidator(std::string_view bytes)
        : unread_(bytes)
    {
    }

    bool validate()
    {
        do {
            if (!readItem())
                return false;
            closeCompleteContainers();
        } while (depth_ > 0);
        return unread_.empty();
    }

private:
    bool readItem()
    {
        if (unread_.empty())
            return false;
        const auto initialByte = static_cast<std::uint8_t>(unread_.front());
        unread_.remove_prefix(1);
        const unsigned major = initialByte >> majorShift;
        std::uint64_t argument = 0;
        if (major == Tag || !readArgument(initialByte & additionalInfoMask, argument))
            return false;
        if (depth_ > 0)
            --elementsLeft_[depth_ - 1];
        if (major == ByteString || major == Text)
            return skip(argument);
        if (major == Array || major == Map)
            return openContainer(major, argument);
        return true;
    }

    /// Rejects indefinite lengths (31) too: peers run the same encoder, which never writes them.
    bool readArgument(unsigned additionalInfo, std::uint64_t &argument)
    {
        argument = additionalInfo;
        if (additionalInfo < oneByteArgument)
            return true;
        if (additionalInfo > eightByteArgument)
            return false;
        const std::size_t size = std::size_t(1) << (additionalInfo - oneByteArgument);
        if (unread_.size() < size)
            return false;
        argument = 0;
        for (const char byte : unread_.substr(0, size))
            argument = argument << 8 | static_cast<std::uint8_t>(byte);
        unread_.remove_prefix(size);
        return true;
    }

    bool skip(std::uint64_t count)
    {
        if (count > unread_.size())
            return false;
        unread_.remove_prefix(static_cast<std::size_t>(count));
        return true;
    }

    bool openContainer(unsigned major, std::uint64_t count)
    {
        // Each element takes at least one byte, so a count above the number of unread bytes is
        // invalid.
        if (count > unread_.size() || depth_ == elementsLeft_.size())
            return false;
        elementsLeft_[depth_++] = major == Map ? count * 2 : count;
        return true;
    }

    void closeCompleteContainers()
    {
        while (depth_ > 0 && elementsLeft_[depth_ - 1] == 0)
            --depth_;
    }

    std::string_view unread_;
    std::array<std::uint64_t, maxMessageDepth> elementsLeft_ {};
    std::size_t depth_ = 0;
};

} // namespace

Result<void> checkCbor(std::string_view bytes)
{
    if (CborValidator(bytes).validate())
        return {};
    return fail(ErrorKind::InvalidMessage,
                "The frame is not one complete CBOR item within the nesting limit. Check the "
                "peer's release.");
}

} // namespace caraway
