#include "Command/Commands.h"

namespace caraway {

const std::string &usageText()
{
    static const std::string text = R"(carawaymount schedules unlike work on one shared fleet.

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
  <job>           A job in JSON, in a file or - for standard input.
  <preset>        A preset file in TOML.
  <day>           A day in UTC as YYYY-MM-DD; today without it.
  <name>          Name of a job, or of a preset that `preset list` shows.
  <chart>         A state chart's file name; all names without it.

Options:
  --entry=ADDR    Entry instance to ask, as host:port [default: 127.0.0.1:7100].
  --wait=MS       Longest wait for the result in ms, 0 to 20000 [default: 10000].
  --first         The name was never submitted before, through any instance: the job starts
                  at once even while some worker cannot be read after a takeover.
  --who=NAME      Operator named in the audit trail [default: operator].
  --why=TEXT      Reason written in the audit trail.
  --revision=N    Refuse the change unless the preset in force has this revision.
  --follow=MS     Wait up to this many ms until every instance follows, and list them.
  --json          Print JSON instead of text.
  -h --help       Print this text.

Exit codes: 0 done, 1 job failed or not run, 2 refused, 3 fate unknown, 4 no answer.
)";
    return text;
}

} // namespace caraway
