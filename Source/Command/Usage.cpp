#include "Command/Commands.h"

namespace caraway {

const std::string &usageText()
{
    static const std::string text = R"(carawaymount schedules services, batch jobs, gang jobs and
interactive requests on one shared fleet.

Usage:
  carawaymount serve <settings>
  carawaymount entry <settings>
  carawaymount (submit | run) <job> [--entry=ADDR] [--wait=MS] [--first] [--json]
  carawaymount status <name> [--entry=ADDR] [--wait=MS] [--json]
  carawaymount cancel <name> [--entry=ADDR] [--json]
  carawaymount workers [--entry=ADDR] [--json]
  carawaymount preset list [--entry=ADDR] [--json]
  carawaymount preset show [<name>] [--entry=ADDR] [--json]
  carawaymount preset (create | edit) <preset> [--entry=ADDR] [--who=NAME] [--why=TEXT] [--json]
  carawaymount preset use <name> [--entry=ADDR] [--who=NAME] [--why=TEXT] [--revision=N] [--follow=MS] [--json]
  carawaymount audit [<day>] [--entry=ADDR] [--json]
  carawaymount check <settings>
  carawaymount check --preset <preset>
  carawaymount settings
  carawaymount chart [<chart>]
  carawaymount version
  carawaymount (-h | --help)

Arguments:
  <settings>      A settings file in TOML; `carawaymount settings` lists its keys.
  <job>           A job file in JSON; - reads standard input.
  <preset>        A preset file in TOML.
  <day>           A day in UTC as YYYY-MM-DD; the default is today.
  <name>          Name of a job, or of a preset in `preset list`.
  <chart>         File name of a state chart; without it, all file names are printed.

Options:
  --entry=ADDR    Entry instance to connect to, as host:port [default: 127.0.0.1:7100].
  --wait=MS       Maximum wait for the result in ms, 0 to 20000 [default: 10000].
  --first         Asserts that no job of this name was submitted before, through any instance:
                  after a takeover, the job can then start before the new holder has read
                  the running tasks of every worker.
  --who=NAME      Operator recorded in the audit trail [default: operator].
  --why=TEXT      Reason recorded in the audit trail.
  --revision=N    Refuse the change unless the preset in force has this revision.
  --follow=MS     Wait up to this many ms until every instance follows, then list the instances.
  --json          Print JSON instead of text.
  -h --help       Print this help.

Exit codes: 0 success, 1 job failed or not run, 2 refused or invalid, 3 outcome unknown,
4 no response.
)";
    return text;
}

} // namespace caraway
