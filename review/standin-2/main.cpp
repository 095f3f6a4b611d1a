#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

/// Usage: cases CASE RECORD. Exit code: 1 the rule was broken, 0 it held, 2 the
/// case couldn't run. TROUBLE=0 in the environment leaves the disruption out.
int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    const std::string name = argv[1];
    review::Record record(argv[2]);
    record.write(std::string("case ") + name + (hasTrouble ? "" : ", without the disruption"));
    int result = 2;
    try {
        for (const auto &[known, run] : review::cases()) {
            if (known == name)
                result = run(record, hasTrouble);
        }
    } catch (const std::exception &error) {
        record.write(std::string("error: ") + error.what());
    }
    record.write("result " + std::to_string(result));
    std::cout << name << ": " << result << std::endl;
    return result;
}
