#include "Command/Commands.h"

#include <fmt/format.h>

#include <vector>

int main(int argc, char *argv[])
{
    const std::vector<std::string> parameters(argv + 1, argv + argc);
    const caraway::Arguments arguments = docopt::docopt(caraway::usageText(), parameters, true);
    return caraway::recoverFrom([&] { return caraway::runCommand(arguments); },
                                [](const caraway::Error &error) {
                                    fmt::print(stderr, "carawaymount: {}\n", error.message);
                                    return caraway::exitCodeOf(error);
                                });
}
