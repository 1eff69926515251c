package commander

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/primrosewall/primrosewall/pkg/server"
	"github.com/primrosewall/primrosewall/proto/control"
)

// callTimeout bounds one call to a node.
const callTimeout = 20 * time.Second

// connection says which node to talk to, and as whom.
type connection struct {
	node    string
	keyFile string
	as      string
}

func (c *connection) register(f *flag.FlagSet) {
	node := os.Getenv("PRIMROSE_NODE")
	if node == "" {
		node = "127.0.0.1:7402"
	}
	f.StringVar(&c.node, "node", node, "admin `address` of any node; PRIMROSE_NODE sets the default")
	f.StringVar(&c.keyFile, "key", os.Getenv("PRIMROSE_KEY"), "`file` with the operator's key, where operators are set; PRIMROSE_KEY sets the default")
	f.StringVar(&c.as, "as", userName(), "operator's `name` for the audit trail, where no operators are set")
	// The name differs from machine to machine, so help does not show it.
	f.Lookup("as").DefValue = ""
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// client returns the operator service of the node.
func (c *connection) client() (control.Operator, error) {
	t := &credentials{as: c.as}
	if c.keyFile != "" {
		raw, err := os.ReadFile(c.keyFile)
		if err != nil {
			return nil, err
		}
		t.key = strings.TrimSpace(string(raw))
	}
	return control.NewOperatorProtobufClient("http://"+c.node, &http.Client{Transport: t}), nil
}

// credentials add the operator to each call.
type credentials struct{ key, as string }

// RoundTrip implements http.RoundTripper.
func (c *credentials) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(server.HeaderOperator, c.as)
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	return http.DefaultTransport.RoundTrip(r)
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
