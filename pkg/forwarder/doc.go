// Package forwarder is the data path. A request passes two chains of filters:
// on the entry node, where its caller is known by key and a target is chosen,
// and on the chosen target's own node, where it is admitted and delivered.
// filters.go lists both chains; each filter has a file of its own.
//
// A target calls the next service through its own node and passes back the
// call id that came with its request. Team, importance, deadline and retries
// of such a call come from the request in flight, never from what the target
// says.
package forwarder
