package commander

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/explainer"
)

var explainPage = helpPage{
	name:  "explain",
	short: "Tell the story of one request from the logs of several nodes.",
	usage: "primrose explain ID FILE...",
}

// maxLogFiles is the maximum number of log files in one call.
const maxLogFiles = 10_000

func runExplain(t *terminal, args []string) int {
	f := t.flags(explainPage)
	if code, ok := t.parseFlags(f, args, 2, maxLogFiles); !ok {
		return code
	}
	e := &explainer.Explainer{ID: f.Arg(0)}
	for _, name := range f.Args()[1:] {
		if err := readLog(e, name); err != nil {
			return t.fail(err)
		}
	}
	if !e.Write(t.out) {
		return exitFailure
	}
	return exitOK
}

// readLog reads a log file. Its name without the extension is the node's name.
func readLog(e *explainer.Explainer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return e.Read(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}
