package main

const description = `bilberry checks the tables and settings of a bilberrywood fleet and shows what its entries do.
It changes nothing. "bilberry COMMAND --help" has examples.`

const exitHelp = `

Exit codes: 0 fine; 1 failed, or a problem, a difference, a mismatch or an entry that can't be reached was found; 2 usage.`

// completionScript makes bash take completions from this program, by means of the completion mode of go-flags.
const completionScript = `_bilberry() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _bilberry bilberry
`

// help holds the help texts by the name of the command.
var help = map[string]struct{ short, long string }{
	"check": {
		"check tables before they are published",
		`Checks a routes table and a pools table by the rules that entries check them by. Prints "file:line:column: reason" for every problem.

Example:
bilberry check --routes routes.json --pools pools.json`,
	},
	"diff": {
		"show the changes between two pairs of tables",
		`Shows the changes of rows and fields that lead from one pair of tables to another. Comments and layout don't count. Exits with 1 if there is a change.

Example:
bilberry diff --routes old/routes.json --pools old/pools.json --to-routes routes.json --to-pools pools.json`,
	},
	"settings": {
		"check entry settings without starting anything",
		`Checks settings files of entries by the rules that an entry checks them by when it starts.

Example:
bilberry settings settings/kb-01.json settings/kb-02.json`,
	},
	"fleet": {
		"one page about the whole fleet",
		`Shows for each entry its state, the pair in force since when, whether it reads the platform and doubts itself; the owner of each pool; the targets not in service with the evidence; and the refusals by reason.

Examples:
bilberry fleet --settings-dir settings
bilberry fleet --entries 10.0.0.1:27001,10.0.0.2:27001 --json`,
	},
	"force": {
		"what is in force where, and since when",
		`Shows the pair in force on every entry. Exits with 1 unless it is the same on all.

Example:
bilberry force --settings-dir settings`,
	},
	"explain": {
		"what would happen to a request, without running it",
		`Asks every entry, or the one given, which route, pool and owner a request would get or why it would be refused. Exits with 1 if the entries don't agree. A refusal on which they agree is fine. The token is better given in the environment variable BILBERRYWOOD_TOKEN than as an option, which other users of the machine can see.

Examples:
bilberry explain --settings-dir settings --path /kiesbank/bescheid-info/4711
bilberry explain --settings-dir settings --entry kb-02 --method POST --path /kiesbank/mengen-buch/notices --account gemeinde-landau`,
	},
	"ejections": {
		"targets that are not in service",
		`Lists the targets that are avoided, ejected, unreachable or leaving, with the reason, the evidence, its thresholds, the samples and since when.

Example:
bilberry ejections --settings-dir settings`,
	},
	"rejected": {
		"tables that were not accepted",
		`Lists the pairs of tables that entries did not accept, with all problems.

Example:
bilberry rejected --settings-dir settings`,
	},
	"log": {
		"log lines of all entries in one stream",
		`Merges the last log lines of all entries by time and, with --follow, new lines as they arrive. With --json the lines are printed as the entries wrote them.

Examples:
bilberry log --settings-dir settings --event placementDecision
bilberry log --settings-dir settings --follow --json`,
	},
	"audit": {
		"compare what is in force everywhere with the published tables",
		`Reads the tables in force from every entry, compares them row by row with the published files, and says MATCH or names each entry and difference. An entry that can't be reached, and a live entry that was not asked, are a mismatch.

Example:
bilberry audit --settings-dir settings --routes routes.json --pools pools.json`,
	},
	"completion": {
		"print the script for completion in bash",
		`Prints a script that completes commands, options and file names in bash.

Example:
source <(bilberry completion)`,
	},
}
