// Package launcher starts the daemon: flags, settings, log, signals.
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
	"syscall"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/server"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// Exit codes of the daemon.
const (
	exitGood  = 0
	exitFail  = 1
	exitUsage = 2
)

const usage = `primrosed is the node of one instance.

usage: primrosed [-settings FILE] [-log LEVEL]
       primrosed -check FILE

Without -settings it is a whole system of one node on loopback.

`

// options are parsed once and passed down.
type options struct {
	settings string
	check    string
	level    slog.Level
}

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

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitGood
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrosed:", err)
		return exitUsage
	}
	if o.check != "" {
		return check(o.check, stdout, stderr)
	}
	if err := run(o, stderr); err != nil {
		fmt.Fprintln(stderr, "primrosed:", err)
		return exitFail
	}
	return exitGood
}

func check(file string, stdout, stderr io.Writer) int {
	s, err := configurer.Load(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFail
	}
	fmt.Fprintf(stdout, "%s: good, instance %s in %s\n", file, s.Instance, s.Centre)
	return exitGood
}

func run(o *options, stderr io.Writer) error {
	settings := configurer.Default()
	if o.settings != "" {
		var err error
		if settings, err = configurer.Load(o.settings); err != nil {
			return err
		}
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: o.level}))
	node, err := server.New(settings, timekeeper.System{}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.Run(ctx)
}
