package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes of the command.
const (
	exitOK       = 0
	exitFaults   = 1
	exitUsage    = 2
	exitDisagree = 3
	exitSilent   = 4
)

// exitError ends the command with a code after its output has been written.
type exitError struct {
	code int
	err  error // may be nil
}

func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

// usageError reports wrong usage.
func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, err: errors.Errorf(format, args...)}
}

// app holds what the subcommands read and write.
type app struct {
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	random io.Reader

	help bytes.Buffer // usage text that was asked for
}

// run runs the command and returns its exit code.
func (a *app) run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		_, _ = a.help.WriteTo(a.out)
		return exitOK
	case errors.As(err, &exit):
		if exit.err != nil {
			a.complain(exit.err.Error())
		}
		return exit.code
	default:
		a.complain(suggestFlag(root, args, err.Error()))
		return exitUsage
	}
}

func (a *app) complain(message string) {
	_, _ = fmt.Fprintln(a.errOut, "wasabi: "+message)
}

func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...)
}

func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.help)
	return fs
}

func (a *app) root() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "wasabi",
		ShortUsage: "wasabi <command> [flags] [arguments]",
		LongHelp: strings.TrimSpace(`
Checks, compares and packs tables, makes keys, shows what the instances have in
force, explains decisions and replays recorded load. Flags can be set in the environment too, for
example WASABI_INSTANCES for -instances.

Exit codes: 0 all is well, 1 faults found, 2 wrong usage, 3 the instances
disagree, 4 an instance could not be reached.`),
		FlagSet: a.flags("wasabi"),
		Subcommands: []*ffcli.Command{
			a.check(), a.diff(), a.pack(), a.key(), a.status(), a.places(), a.explain(), a.replay(), a.version(),
		},
	}
	for _, c := range root.Subcommands {
		c.Options = []ff.Option{ff.WithEnvVarPrefix("WASABI")}
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return usageError("no command; the commands are %s", strings.Join(commandNames(root), ", "))
		}
		return usageError("unknown command %q%s", args[0], didYouMean(args[0], commandNames(root)))
	}
	return root
}

func commandNames(root *ffcli.Command) []string {
	var names []string
	for _, c := range root.Subcommands {
		names = append(names, c.Name)
	}
	return names
}
