// Package forwarder is the data path. A request passes two chains of filters:
// on the entry node, which identifies the caller by its key and chooses a target,
// and on the chosen target's node, which admits and delivers the request. The
// message from the entry node to the target's node is called a hop. filters.go
// lists both chains; each filter has a file of its own.
//
// A target calls the next service through its own node and sends along the call
// id that it received with its request. Such a call takes its team, rank,
// deadline and retry budget from the request in flight with that id, never from
// what the target states.
package forwarder
