package commander

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/primrosewall/primrosewall/proto/control"
)

var showPage = helpPage{
	name:  "show",
	short: "Write the declaration in force as JSON.",
	usage: "primrose show [flags]",
}

func runShow(t *terminal, args []string) int {
	var c connection
	f := t.flags(showPage)
	c.registerFlags(f)
	if code, ok := t.parseFlags(f, args, 0, 0); !ok {
		return code
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	ctx, cancel := callContext()
	defer cancel()
	value, err := client.Declaration(ctx, &control.FetchRequest{})
	if err != nil {
		return t.fail(err)
	}
	text := value.Declaration
	if len(text) == 0 {
		text = []byte("{}")
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, text, "", "  "); err != nil {
		return t.fail(err)
	}
	fmt.Fprintf(t.out, "// version %d\n%s\n", value.Version, pretty.Bytes())
	return exitOK
}
