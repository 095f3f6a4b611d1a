#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace caraway::tests {

/// The tests that KNOWN-RED.txt lists as failing for a real fault; CI passes over just these.
class KnownRed
{
public:
    KnownRed();

    /// Whether \a test is listed; if so, it is printed.
    bool passesOver(std::string_view test) const;

private:
    std::vector<std::string> lines_;
};

} // namespace caraway::tests
