package decoder_test

import (
	"fmt"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/decoder"
)

func ExampleDecode() {
	for _, text := range []string{
		"{\n  // a comment\n  \"instence\": \"a\",\n}",
		"{\n  \"instance\": 7,\n}",
		"{\n  \"listen\": \"x\",\n  \"listen\": \"y\",\n}",
		"{\n  \"listen\" \"x\"\n}",
	} {
		_, err := decoder.Decode("node.json", []byte(text), &configurer.Settings{})
		fmt.Println(err)
	}
	// Output:
	// node.json:3: instence: unknown field; known here are admin, callers, centre, centres, cold, connections, contact, control, data, drain, found, grace, heal, instance, interface, links, listen, memory, metrics, operators, overage, pace, peer, placement, ready, replicas, retry, rule, sameport, secret, seeds, service, shedding, target, tolerance, waiting
	// node.json:2: instance: is a number; a string would be right
	// node.json:3: listen: stands twice; leave one of the two out
	// node.json:2: line 2, column 12: invalid character '"' after object name
}

func ExampleDocument_Problem() {
	_, err := declarer.Parse("fleet.json", []byte("{\n  \"teams\": {\n    \"acme\": {\n      \"rate\": 5\n    }\n  }\n}"))
	fmt.Println(err)
	// Output:
	// fleet.json:3: teams/acme/burst: is 0 with a rate of 5; at least 1 would be right, or nothing is ever admitted
}
