// Package launcher starts the daemon: it handles flags, settings, logging and
// signals.
package launcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/recorder"
	"github.com/primrosewall/primrosewall/pkg/server"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = `primrosed is the node of one instance.

usage: primrosed [-settings FILE] [-log LEVEL]
       primrosed -check FILE

Without -settings, and without a file named in the environment variable
PRIMROSEWALL_CONFIG, it is a whole system of one node on loopback.

`

// options are the values of the command-line flags.
type options struct {
	settings string
	check    string
	level    slog.Level
}

// parse parses the flags; it prints usage and flag errors to stderr.
func parse(args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("primrosed", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&o.settings, "settings", "", "`file` with settings, JSON with comments")
	flags.StringVar(&o.check, "check", "", "check a settings `file` and exit")
	flags.TextVar(&o.level, "log", slog.LevelInfo, "least `level` of the log: debug, info, warn or error")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if flags.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q; see primrosed -help", flags.Arg(0))
	}
	return o, nil
}

// settingsEnv is the environment variable that names the settings file if no
// flag does.
const settingsEnv = "PRIMROSEWALL_CONFIG"

// memoryLimitFraction is the fraction of the memory bound that is set as the soft
// limit of the Go runtime, which the garbage collector tries to stay under. The
// rest is for thread stacks and memory of C code.
const memoryLimitFraction = 0.75

// Interfaces maps the values of the setting "interface" to implementations.
type Interfaces map[string]*server.Interface

// Main runs the daemon and returns its exit code.
func Main(args []string, interfaces Interfaces, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrosed:", err)
		return exitUsage
	}
	if o.check != "" {
		return check(o.check, stdout, stderr)
	}
	if err := run(o, interfaces, stdout); err != nil {
		fmt.Fprintln(stderr, "primrosed:", err)
		return exitFailure
	}
	return exitOK
}

// check checks a settings file without starting the daemon.
func check(file string, stdout, stderr io.Writer) int {
	s, err := configurer.Load(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	fmt.Fprintf(stdout, "%s: good, instance %s in %s\n", file, s.Instance, s.Centre)
	return exitOK
}

// run runs the node until it stops on SIGINT or SIGTERM. On SIGHUP it reloads the
// settings.
func run(o *options, interfaces Interfaces, stdout io.Writer) error {
	settings := configurer.Default()
	file := o.settings
	if file == "" {
		file = os.Getenv(settingsEnv)
	}
	if file != "" {
		var err error
		if settings, err = configurer.Load(file); err != nil {
			return err
		}
	}
	var selected *server.Interface
	if settings.Interface != "" {
		known, ok := interfaces[settings.Interface]
		if !ok {
			return fmt.Errorf("settings: interface is %q, which is not built into this daemon", settings.Interface)
		}
		selected = known
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory<<20) * memoryLimitFraction))
	}
	log := recorder.New(stdout)
	defer log.Close()
	node, err := server.New(settings, timekeeper.BootTimeClock{}, log.Logger(o.level), selected)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	r := &reloader{file: file, node: node, log: log.Logger(o.level), signals: hangup}
	go r.run(ctx)
	return node.Run(ctx)
}
