package commander

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// Exit codes of the tool.
const (
	exitGood = 0
	// exitFail says that something went wrong, or that it is not known.
	exitFail  = 1
	exitUsage = 2
	// exitConflict says that another operator came first.
	exitConflict = 3
)

// page is the help of a verb.
type page struct {
	name string
	// short says in one line what the verb does.
	short string
	usage string
}

// verb is one command of the tool.
type verb struct {
	page
	run func(t *terminal, args []string) int
}

// verbs lists all of them. Adding one is a file and a line here.
func verbs() []verb {
	return []verb{
		{planPage, runPlan},
		{confirmPage, runConfirm},
		{statusPage, runStatus},
		{auditPage, runAudit},
		{showPage, runShow},
		{keyPage, runKey},
		{replacePage, runReplace},
		{targetPage, runTarget},
		{trialPage, runTrial},
		{explainPage, runExplain},
	}
}

// terminal is where a verb writes.
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

func (t *terminal) help(w io.Writer) {
	fmt.Fprint(w, "primrose is the tool of operators.\n\nusage: primrose VERB [flags] [arguments]\n\n")
	for _, v := range verbs() {
		fmt.Fprintf(w, "  %-8s  %s\n", v.name, v.short)
	}
	fmt.Fprint(w, "\nprimrose help VERB tells more.\n")
}

func (t *terminal) helpFor(args []string) int {
	if len(args) == 0 {
		t.help(t.out)
		return exitGood
	}
	for _, v := range verbs() {
		if v.name == args[0] {
			return v.run(&terminal{out: t.out, err: t.out}, []string{"-help"})
		}
	}
	fmt.Fprintf(t.err, "primrose: unknown verb %q\n", args[0])
	return exitUsage
}

// flags makes the flag set of a verb, whose help begins with its usage.
func (t *terminal) flags(v page) *flag.FlagSet {
	f := flag.NewFlagSet(v.name, flag.ContinueOnError)
	f.SetOutput(t.err)
	f.Usage = func() {
		fmt.Fprintf(t.err, "%s\n\nusage: %s\n", v.short, v.usage)
		some := false
		f.VisitAll(func(*flag.Flag) { some = true })
		if some {
			fmt.Fprintln(t.err, "\nflags:")
			f.PrintDefaults()
		}
	}
	return f
}

// parsed turns a parse error into an exit code; ok tells to go on.
func (t *terminal) parsed(f *flag.FlagSet, args []string, least, most int) (int, bool) {
	err := f.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitGood, false
	}
	if err != nil {
		return exitUsage, false
	}
	if f.NArg() < least || f.NArg() > most {
		f.Usage()
		return exitUsage, false
	}
	return exitGood, true
}

// fail reports an error.
func (t *terminal) fail(err error) int {
	fmt.Fprintln(t.err, "primrose:", err)
	return exitFail
}
