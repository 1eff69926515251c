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

// callTimeout is the timeout of one call to a node.
const callTimeout = 20 * time.Second

// connection holds the flags for the connection to a node.
type connection struct {
	// node is the admin address of the node.
	node string
	// keyFile is a file with the operator's key. If empty, calls carry no key.
	keyFile string
	// operator is the operator's name, for installations without operator keys.
	operator string
}

func (c *connection) registerFlags(f *flag.FlagSet) {
	node := os.Getenv("PRIMROSE_NODE")
	if node == "" {
		node = "127.0.0.1:7402"
	}
	f.StringVar(&c.node, "node", node, "admin `address` of any node; PRIMROSE_NODE sets the default")
	f.StringVar(&c.keyFile, "key", os.Getenv("PRIMROSE_KEY"), "`file` with the operator's key, where operators are set; PRIMROSE_KEY sets the default")
	f.StringVar(&c.operator, "as", userName(), "operator's `name` for the audit trail, where no operators are set")
	// The default differs from machine to machine, so the help doesn't show it.
	f.Lookup("as").DefValue = ""
}

// userName is the name of the system's user, or "" if it is unknown.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// client returns a client of the node's operator service.
func (c *connection) client() (control.Operator, error) {
	transport := &credentials{operator: c.operator}
	if c.keyFile != "" {
		raw, err := os.ReadFile(c.keyFile)
		if err != nil {
			return nil, err
		}
		transport.key = strings.TrimSpace(string(raw))
	}
	return control.NewOperatorProtobufClient("http://"+c.node, &http.Client{Transport: transport}), nil
}

// credentials is an HTTP transport that adds the operator's name and key to each
// request.
type credentials struct{ key, operator string }

// RoundTrip implements http.RoundTripper.
func (c *credentials) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(server.HeaderOperator, c.operator)
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	return http.DefaultTransport.RoundTrip(r)
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
