// Package connector sends requests over a small number of reused connections.
// Unlike the transport of net/http, it never resends a request, it reports
// whether a byte of a request may have been sent, and the user decides whether a
// response belongs to the request. So a late or duplicate response is never
// returned for another request.
package connector
