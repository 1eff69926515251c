package commander

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/explainer"
)

var explainPage = page{
	name:  "explain",
	short: "Tell the story of one request from the logs of several nodes.",
	usage: "primrose explain ID FILE...",
}

// maxLogs bounds the logs of one call.
const maxLogs = 10_000

func runExplain(t *terminal, args []string) int {
	f := t.flags(explainPage)
	if code, ok := t.parsed(f, args, 2, maxLogs); !ok {
		return code
	}
	e := &explainer.Explainer{ID: f.Arg(0)}
	for _, name := range f.Args()[1:] {
		if err := readLog(e, name); err != nil {
			return t.fail(err)
		}
	}
	if !e.Write(t.out) {
		return exitFail
	}
	return exitGood
}

// readLog takes a log whose file is named after its node.
func readLog(e *explainer.Explainer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return e.Read(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
}
