package commander

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/proto/control"
)

var keyPage = helpPage{
	name:  "key",
	short: "Give a team a key, or withdraw keys at once.",
	usage: "primrose key give [flags] TEAM | primrose key withdraw [flags] HASH...",
}

// keyBytes is the length of a key's random part before encoding.
const keyBytes = 24

func runKey(t *terminal, args []string) int {
	action := ""
	if len(args) > 0 {
		action, args = args[0], args[1:]
	}
	switch action {
	case "give":
		return t.giveKey(args)
	case "withdraw":
		return t.withdrawKeys(args)
	}
	f := t.flags(keyPage)
	var c connection
	c.registerFlags(f)
	f.Usage()
	if action == "-help" || action == "-h" {
		return exitOK
	}
	return exitUsage
}

// giveKey generates a key locally, prints it once, and plans the declaration in
// force with the key's hash added to the team.
func (t *terminal) giveKey(args []string) int {
	var c connection
	plans := planFolder{path: defaultFolder()}
	f := t.flags(keyPage)
	c.registerFlags(f)
	f.StringVar(&plans.path, "plans", plans.path, "`folder` that keeps plans until they are confirmed")
	f.Lookup("plans").DefValue = ""
	if code, ok := t.parseFlags(f, args, 1, 1); !ok {
		return code
	}
	canonical, key, err := t.addKey(&c, f.Arg(0))
	if err != nil {
		return t.fail(err)
	}
	fmt.Fprintf(t.out, "key (shown once): %s\nhash: %s\n", key, declarer.HashKey(key))
	return t.plan(&c, plans, canonical)
}

// addKey returns the declaration in force with a new key for the team, and the
// key. It doesn't change the declaration in force.
func (t *terminal) addKey(c *connection, team string) ([]byte, string, error) {
	client, err := c.client()
	if err != nil {
		return nil, "", err
	}
	ctx, cancel := callContext()
	defer cancel()
	value, err := client.Declaration(ctx, &control.FetchRequest{})
	if err != nil {
		return nil, "", err
	}
	declaration := &declarer.Declaration{}
	if len(value.Declaration) > 0 {
		if declaration, err = declarer.Parse("declaration", value.Declaration); err != nil {
			return nil, "", err
		}
	}
	entry, ok := declaration.Teams[team]
	if !ok {
		return nil, "", fmt.Errorf("no team %s; its teams are %s", team, strings.Join(declaration.TeamNames(), ", "))
	}
	key, err := newKey()
	if err != nil {
		return nil, "", err
	}
	entry.Keys = append(entry.Keys, declarer.HashKey(key))
	declaration.Teams[team] = entry
	canonical, err := declaration.Canonical()
	return canonical, key, err
}

// newKey generates a random key.
func newKey() (string, error) {
	var raw [keyBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", fmt.Errorf("make key: %w", err)
	}
	return forwarder.KeyPrefix + base64.RawURLEncoding.EncodeToString(raw[:]), nil
}

// withdrawKeys withdraws keys at once, without a plan.
func (t *terminal) withdrawKeys(args []string) int {
	var c connection
	f := t.flags(keyPage)
	c.registerFlags(f)
	if code, ok := t.parseFlags(f, args, 1, 1000); !ok {
		return code
	}
	var hashes [][]byte
	for _, text := range f.Args() {
		hash, err := declarer.DecodeHash(text)
		if err != nil {
			return t.fail(err)
		}
		hashes = append(hashes, hash)
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	ctx, cancel := callContext()
	defer cancel()
	reply, err := client.Withdraw(ctx, &control.WithdrawRequest{Hashes: hashes})
	if err != nil {
		return t.fail(err)
	}
	if reply.Stored == 0 {
		fmt.Fprintln(t.err, "primrose: the keys are withdrawn, but no data folder has stored that yet; withdraw them again when a replica can be reached")
		return exitFailure
	}
	fmt.Fprintf(t.out, "%d keys withdrawn, stored on %d data folders\n", len(hashes), reply.Stored)
	return exitOK
}
