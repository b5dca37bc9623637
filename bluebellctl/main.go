// Command bluebellctl is the operators' command line. It generates and checks the
// configuration, submits changes to the replicated log through an entry (a process that
// accepts calls), and shows what is in force.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"bluebellhaven.org/bluebell/bluebellconfig"
)

// Exit codes.
const (
	exitFailed = 1
	// exitFindings reports findings in the input, generated files that are out of date, or a
	// missing command.
	exitFindings = 2
	// exitNotInForce reports that a change is agreed but not in force at all VMs in time, or
	// that a move has not ended in time.
	exitNotInForce = 3
	// exitConflict reports that another change was accepted on the same base revision.
	exitConflict = 4
	// exitRefused reports that the change was refused; the message gives the reason.
	exitRefused = 5
)

type arguments struct {
	Generate   *generateCommand   `arg:"subcommand:generate" help:"generate the configuration and the settings of each VM from the answers"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check answers, and that generated files are up to date"`
	Diff       *diffCommand       `arg:"subcommand:diff" help:"show where a configuration differs from the one in force"`
	Apply      *applyCommand      `arg:"subcommand:apply" help:"have a configuration agreed and wait until it is in force"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show what is in force, VM by VM"`
	Domain     *domainCommand     `arg:"subcommand:domain" help:"order a failure domain out or in"`
	Endpoint   *endpointCommand   `arg:"subcommand:endpoint" help:"drain an endpoint or take it back into use"`
	Move       *moveCommand       `arg:"subcommand:move" help:"start, watch or take back a version move"`
	Why        *whyCommand        `arg:"subcommand:why" help:"show why a request went where it did"`
	Members    *membersCommand    `arg:"subcommand:members" help:"replace the members of the agreed log, one voter at a time"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"list or lift quarantines of a discovered deployment"`
	Review     *reviewCommand     `arg:"subcommand:review" help:"check the declaration of a discovered deployment, and show what differs from the one in force"`
	KeyHash    *keyHashCommand    `arg:"subcommand:keyhash" help:"print the hash under which a key is declared"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "bluebellctl operates a bluebellhaven deployment. Keep the answers to the questionnaire in version control; the configuration is generated from them."
}

// Epilogue returns the text at the end of the help: the first steps of a deployment and the
// exit codes.
func (arguments) Epilogue() string {
	return `A new deployment:
  bluebellctl generate answers.jsonc generated/
  bluebellentry --bootstrap generated/vm-NAME.jsonc      on each VM, the first time
  export BLUEBELL_OPERATOR_KEY=...
  bluebellctl apply generated/configuration.jsonc

Exit codes: 0 done, 1 failed, 2 findings in the input, 3 agreed but not in force
everywhere or not ended in time, 4 another change was accepted first, 5 refused.`
}

// exitError is an error with the exit code that main returns for it.
type exitError struct {
	code int
	err  error
}

var _ error = (*exitError)(nil)

func (e *exitError) Error() string { return e.err.Error() }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	err := run(&args)
	if errors.Is(err, errNoCommand) {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitFindings)
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var findings bluebellconfig.Findings
	var withCode *exitError
	switch {
	case errors.As(err, &withCode):
		os.Exit(withCode.code)
	case errors.As(err, &findings):
		os.Exit(exitFindings)
	}
	os.Exit(exitFailed)
}

// errNoCommand makes main print the help.
var errNoCommand = errors.New("a command is needed")

func run(args *arguments) error {
	switch {
	case args.Generate != nil:
		return args.Generate.run()
	case args.Check != nil:
		return args.Check.run()
	case args.Diff != nil:
		return args.Diff.run()
	case args.Apply != nil:
		return args.Apply.run()
	case args.Status != nil:
		return args.Status.run()
	case args.Domain != nil:
		return args.Domain.run()
	case args.Endpoint != nil:
		return args.Endpoint.run()
	case args.Move != nil:
		return args.Move.run()
	case args.Why != nil:
		return args.Why.run()
	case args.Members != nil:
		return args.Members.run()
	case args.Quarantine != nil:
		return args.Quarantine.run()
	case args.Review != nil:
		return args.Review.run()
	case args.KeyHash != nil:
		return args.KeyHash.run()
	}
	return errNoCommand
}
