#include "Soak/SoakSummary.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace caraway::tests {

namespace {

constexpr Milliseconds promptBound {1};

std::int64_t percentile(const std::vector<Milliseconds> &ascending, std::size_t percent)
{
    return ascending[(ascending.size() - 1) * percent / 100].count();
}

void forEachLogLine(const std::filesystem::path &folder,
                    const std::function<void(const std::string &)> &handle)
{
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".log")
            continue;
        std::ifstream log(entry.path());
        for (std::string line; std::getline(log, line);)
            handle(line);
    }
}

} // namespace

std::string SoakSummary::describe() const
{
    std::string text = fmt::format("ends lapsed: {}; ends acknowledged: {}, {} of them unlisted",
                                   lapsedRuns, notedEnds, unlistedEnds);
    if (!delays.empty())
        text += fmt::format(", {} within {} ms; from listed to acknowledged 5% {} ms, median {} "
                            "ms, 95% {} ms",
                            promptEnds, promptBound.count(), percentile(delays, 5),
                            percentile(delays, 50), percentile(delays, 95));
    return text
            + fmt::format("; acknowledgements unused: {}; crashes of workers: {}, counted under "
                          "runs: {}\n",
                          unusedAcknowledgements, workerCrashes, countedCrashes);
}

SoakSummary summarize(const SoakJournal &journal, std::size_t countedCrashes)
{
    SoakSummary summary;
    summary.workerCrashes = journal.workerCrashes();
    summary.countedCrashes = countedCrashes;
    for (const SoakRun &run : journal.runs()) {
        if (run.how == "lapsed")
            ++summary.lapsedRuns;
        if (!run.notedAt)
            continue;
        ++summary.notedEnds;
        if (run.listedAt)
            summary.delays.push_back(*run.notedAt - *run.listedAt);
        else
            ++summary.unlistedEnds;
    }
    std::ranges::sort(summary.delays);
    summary.promptEnds = static_cast<std::size_t>(std::ranges::count_if(
            summary.delays, [](Milliseconds delay) { return delay <= promptBound; }));
    return summary;
}

std::size_t countCrashLines(const std::filesystem::path &folder)
{
    std::size_t count = 0;
    forEachLogLine(folder, [&count](const std::string &line) {
        const bool isCrash = line.find("event=worker_crashed_under_run") != std::string::npos
                || line.find("event=worker_crash_shared") != std::string::npos;
        count += isCrash ? 1 : 0;
    });
    return count;
}

std::size_t countUnusedAcknowledgements(const std::filesystem::path &folder)
{
    std::size_t sum = 0;
    forEachLogLine(folder, [&sum](const std::string &line) {
        const std::string field = " unused_acknowledgements=";
        const std::size_t at = line.find(field);
        if (at != std::string::npos)
            sum += std::stoull(line.substr(at + field.size()));
    });
    return sum;
}

} // namespace caraway::tests
