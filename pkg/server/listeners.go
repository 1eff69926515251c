package server

import (
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/proto/control"
)

// listener is one HTTP server with its socket.
type listener struct {
	server *http.Server
	socket net.Listener
	useTLS bool
}

func (l *listener) run() {
	var err error
	if l.useTLS {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		slog.Error("listen", "address", l.socket.Addr().String(), "error", err.Error())
	}
}

// countingLog counts the log lines of net/http instead of writing them: they have
// no event name and may quote what callers sent.
type countingLog struct{ count func(string, int64) }

// Write implements io.Writer.
func (l countingLog) Write(p []byte) (int, error) {
	l.count("connection_errors", 1)
	return len(p), nil
}

// listen opens a socket for a handler; useTLS is for links between nodes. refuse answers
// requests that are refused before they reach the handler.
func (s *Server) listen(address string, handler http.Handler, useTLS bool, refuse func(http.ResponseWriter, *forwarder.Refusal)) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				connectionIdle(c)
			}
		},
		ErrorLog: slog.NewLogLogger(slog.NewTextHandler(countingLog{s.countEvent}, nil), slog.LevelError),
	}
	if useTLS {
		server.TLSConfig = s.sealer.Server()
		server.MaxHeaderBytes += hopHeaderBytes
		server.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){}
	}
	return &listener{server: server, socket: s.boundListener(server, s.closer.Listen(socket), useTLS, refuse), useTLS: useTLS}, nil
}

// peerHandler serves other nodes: control messages and hops to this node's
// target.
func (s *Server) peerHandler() http.Handler {
	peer := control.NewPeerServer(&peerService{s})
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix(), limitBody(peer))
	if s.folder != nil {
		replica := control.NewReplicaServer(&replicaService{acceptor: s.acceptor, store: s.store, departures: s.departures})
		mux.Handle(replica.PathPrefix(), limitBody(replica))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forwarder.IsHop(r) {
			s.forwarder.ServeHop(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// maxMessageBytes bounds the size of a control message.
const maxMessageBytes = 64 << 20

func limitBody(h http.Handler) http.Handler { return http.MaxBytesHandler(h, maxMessageBytes) }

// adminHandler serves operators, metrics, and announcements of this node's
// target.
func (s *Server) adminHandler() http.Handler {
	operator := control.NewOperatorServer(&operatorService{s})
	mux := http.NewServeMux()
	mux.Handle(operator.PathPrefix(), s.authenticateOperator(limitBody(operator)))
	mux.Handle("/announce", localOnly(s.announcer))
	mux.HandleFunc("GET /debug/vars", s.serveMetrics)
	mux.Handle("GET /metrics", s.measurer.Handler())
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "primrosed "+s.settings.Instance+"\n/metrics and /debug/vars metrics\n/announce for the own target")
	})
	return mux
}

// localOnly rejects requests from other machines.
func localOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		local, _, _ := net.SplitHostPort(fmt.Sprint(r.Context().Value(http.LocalAddrContextKey)))
		if err != nil || (!net.ParseIP(host).IsLoopback() && host != local) {
			http.Error(w, "only the own target may announce itself", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveMetrics writes the metrics of the node and of the process as JSON.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	load := s.admitter.Load()
	gauges := map[string]int64{
		"version": int64(s.config.Current().Version()), "members": int64(len(s.gossip.Members())),
		"inflight": int64(load.Inflight), "queued": int64(load.Queued), "limit": int64(load.Limit),
		"slots": int64(load.Slots), "level": int64(load.Level),
	}
	for name, value := range gauges {
		v := new(expvar.Int)
		v.Set(value)
		s.metrics.Set(name, v)
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	var parts []string
	parts = append(parts, `"primrosed": `+s.metrics.String())
	expvar.Do(func(kv expvar.KeyValue) {
		parts = append(parts, fmt.Sprintf("%q: %s", kv.Key, kv.Value))
	})
	fmt.Fprintf(w, "{\n%s\n}\n", strings.Join(parts, ",\n"))
}
