package commander

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/primrosewall/primrosewall/proto/control"
)

var replacePage = helpPage{
	name:  "replace",
	short: "Put a replica into the set in place of a lost one.",
	usage: "primrose replace [flags] -joining ADDRESS",
}

func runReplace(t *terminal, args []string) int {
	var c connection
	request := &control.ReplaceRequest{}
	f := t.flags(replacePage)
	c.registerFlags(f)
	f.StringVar(&request.Leaving, "leaving", "", "`identity` of the replica that leaves, as in primrose status; empty to add one")
	f.StringVar(&request.Joining, "joining", "", "peer `address` of the node whose data folder joins")
	f.StringVar(&request.Id, "id", "", "`id` of this change, to send it again after a lost answer")
	if code, ok := t.parseFlags(f, args, 0, 0); !ok {
		return code
	}
	if request.Joining == "" {
		f.Usage()
		return exitUsage
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	if request.Id == "" {
		var raw [8]byte
		if _, err := rand.Read(raw[:]); err != nil {
			return t.fail(err)
		}
		request.Id = hex.EncodeToString(raw[:])
		fmt.Fprintf(t.out, "change %s\n", request.Id)
	}
	ctx, cancel := callContext()
	defer cancel()
	reply, err := client.Replace(ctx, request)
	return t.reportChange(reply, err)
}
