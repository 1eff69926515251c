package commander

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// Exit codes of the tool.
const (
	exitOK = 0
	// exitFailure means that the verb failed or that its result is unknown.
	exitFailure = 1
	// exitUsage means that the arguments are wrong.
	exitUsage = 2
	// exitConflict means that another operator's change came first.
	exitConflict = 3
	// exitFindings means that a declaration is valid and probably contains a mistake.
	exitFindings = 4
)

// helpPage is the help of a verb.
type helpPage struct {
	name string
	// short describes the verb in one line.
	short string
	usage string
}

// verb is one command of the tool.
type verb struct {
	helpPage
	run func(t *terminal, args []string) int
}

// verbs returns all verbs, in the order of the help. A new verb needs a file of its
// own and a line here.
func verbs() []verb {
	return []verb{
		{checkPage, runCheck},
		{planPage, runPlan},
		{confirmPage, runConfirm},
		{statusPage, runStatus},
		{auditPage, runAudit},
		{showPage, runShow},
		{keyPage, runKey},
		{replacePage, runReplace},
		{drainPage, runDrain},
		{targetPage, runTarget},
		{trialPage, runTrial},
		{explainPage, runExplain},
	}
}

// terminal holds the output and error streams of a verb.
type terminal struct {
	out, err io.Writer
}

// Main runs the verb that the arguments name and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &terminal{out: stdout, err: stderr}
	if len(args) == 0 {
		t.help(stderr)
		return exitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		return t.helpFor(args[1:])
	}
	for _, v := range verbs() {
		if v.name == args[0] {
			return v.run(t, args[1:])
		}
	}
	fmt.Fprintf(stderr, "primrose: unknown verb %q; see primrose help\n", args[0])
	return exitUsage
}

// help prints the list of verbs.
func (t *terminal) help(w io.Writer) {
	fmt.Fprint(w, "primrose is the tool of operators.\n\nusage: primrose VERB [flags] [arguments]\n\n")
	for _, v := range verbs() {
		fmt.Fprintf(w, "  %-8s  %s\n", v.name, v.short)
	}
	fmt.Fprint(w, "\nprimrose help VERB tells more.\n")
}

// helpFor prints the help of the verb named first, or the list of verbs.
func (t *terminal) helpFor(args []string) int {
	if len(args) == 0 {
		t.help(t.out)
		return exitOK
	}
	for _, v := range verbs() {
		if v.name == args[0] {
			return v.run(&terminal{out: t.out, err: t.out}, []string{"-help"})
		}
	}
	fmt.Fprintf(t.err, "primrose: unknown verb %q\n", args[0])
	return exitUsage
}

// flags returns an empty flag set for a verb, which prints the verb's help.
func (t *terminal) flags(p helpPage) *flag.FlagSet {
	f := flag.NewFlagSet(p.name, flag.ContinueOnError)
	f.SetOutput(t.err)
	f.Usage = func() {
		fmt.Fprintf(t.err, "%s\n\nusage: %s\n", p.short, p.usage)
		hasFlags := false
		f.VisitAll(func(*flag.Flag) { hasFlags = true })
		if hasFlags {
			fmt.Fprintln(t.err, "\nflags:")
			f.PrintDefaults()
		}
	}
	return f
}

// parseFlags parses the arguments and checks the number of those that aren't
// flags. If it returns false, the verb ends with the exit code.
func (t *terminal) parseFlags(f *flag.FlagSet, args []string, minArgs, maxArgs int) (int, bool) {
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK, false
	}
	if err != nil {
		return exitUsage, false
	}
	if f.NArg() < minArgs || f.NArg() > maxArgs {
		f.Usage()
		return exitUsage, false
	}
	return exitOK, true
}

// fail prints an error and returns the exit code.
func (t *terminal) fail(err error) int {
	fmt.Fprintln(t.err, "primrose:", err)
	return exitFailure
}
