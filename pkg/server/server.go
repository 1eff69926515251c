package server

import (
	"cmp"
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/announcer"
	"github.com/primrosewall/primrosewall/pkg/auditor"
	"github.com/primrosewall/primrosewall/pkg/bounder"
	"github.com/primrosewall/primrosewall/pkg/caller"
	"github.com/primrosewall/primrosewall/pkg/closer"
	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/connector"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/deduplicator"
	"github.com/primrosewall/primrosewall/pkg/dialer"
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/fetcher"
	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/limiter"
	"github.com/primrosewall/primrosewall/pkg/measurer"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/registrar"
	"github.com/primrosewall/primrosewall/pkg/replicator"
	"github.com/primrosewall/primrosewall/pkg/router"
	"github.com/primrosewall/primrosewall/pkg/sealer"
	"github.com/primrosewall/primrosewall/pkg/shedder"
	"github.com/primrosewall/primrosewall/pkg/storer"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/pkg/withdrawer"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// minReadyContacts is how many other nodes a starting node must be in contact
	// with before it serves, or all its seeds if there are fewer.
	minReadyContacts = 3
	// readyTimeout is how long it waits for them before it serves anyway.
	readyTimeout = 3 * time.Second
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = declarer.NodeHead * time.Millisecond
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = declarer.NodeIdle * time.Millisecond
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = declarer.NodeHeader
	// hopHeaderBytes is added to maxHeaderBytes on TLS links between nodes, for
	// the headers that nodes add.
	hopHeaderBytes = 4 << 10
	// stopTimeout bounds a graceful stop when the settings have no grace time.
	stopTimeout = 10 * time.Minute
	// graceMargin is the part of the grace time left for ending the process.
	graceMargin = 400 * time.Millisecond
	// answerMargin is the part of a stop that is left for answers to requests that have
	// waited until then.
	answerMargin = 500 * time.Millisecond
	// controllersTimeout bounds the wait for controllers at a stop, within
	// graceMargin. Ending the process while one still runs loses no more than a
	// kill would.
	controllersTimeout = 100 * time.Millisecond
	// signalDelay is how late a busy process may begin its stop after the signal, from
	// which callers and the supervisor count.
	signalDelay = 100 * time.Millisecond
	// readyPropagationDelay is how long callers may go on using a node whose
	// readiness check fails: two failed checks, a second apart, and the spread of
	// their times.
	readyPropagationDelay = 3 * time.Second
)

// Server is one node of the fleet.
type Server struct {
	settings *configurer.Settings
	// live holds the settings including what has been reloaded since the start.
	live    atomic.Pointer[configurer.Settings]
	clock   timekeeper.Clock
	log     *slog.Logger
	iface   *Interface
	sealer  *sealer.Sealer
	started time.Time

	// folder is the data folder. On nodes without one it is nil, as are acceptor,
	// store, audit and departures.
	folder *storer.Folder
	// founding is set if this replica may create the first configuration of the
	// fleet.
	founding   bool
	acceptor   *replicator.Acceptor
	store      *deduplicator.Store
	audit      *auditor.Auditor
	departures *registrar.Registrar
	config     *enforcer.Enforcer
	withdrawn  *withdrawer.Withdrawer
	quarantine *quarantiner.Quarantiner

	traffic      *traffic
	caller       *caller.Caller
	udpTransport *udpTransport
	nodeState    *nodeState
	gossip       *gossiper.Gossiper
	fetcher      *fetcher.Fetcher
	directory    *directory
	proposer     *replicator.Proposer
	witness      *limiter.Witness
	holder       *limiter.Holder
	tokens       *limiter.TokenClient
	announcer    *announcer.Announcer
	admitter     *admitter.Admitter
	// chains is nil unless the setting shedding is chains.
	chains    *shedder.Chains
	router    *router.Router
	forwarder *forwarder.Forwarder
	connector *connector.Connector
	// outgoing bounds the connections to targets and other nodes; nil if the settings name
	// no bound.
	outgoing *dialer.Budget
	// drains are the drains last applied. Only applyDrains uses it.
	drains []*control.Drain

	// bounds are nil where the settings name none.
	bounds    *bounder.Bounder
	boundsLog *boundsLog
	usageLog  *usageLog
	// closer closes the connections of all listeners.
	closer closer.Closer

	metrics  *expvar.Map
	measurer *measurer.Measurer
	// stopBegan is when the graceful stop began; stopping holds its other times and is
	// nil before it.
	stopBegan time.Time
	stopping  atomic.Pointer[forwarder.Stop]
	isReady   atomic.Bool
	// toleranceWaived is set while the fleet has too few disks for the tolerance in
	// the settings.
	toleranceWaived atomic.Bool
}

// New builds a node from its settings. It opens no sockets; Run does. A nil iface
// means the daemon's own protocol.
func New(settings *configurer.Settings, clock timekeeper.Clock, log *slog.Logger, iface *Interface) (*Server, error) {
	if iface == nil {
		iface = &Interface{Dialect: forwarder.Native{}}
	}
	s := &Server{
		settings: settings, clock: clock, log: log, started: clock.Now(), iface: iface,
		metrics: new(expvar.Map), sealer: sealer.Plain(),
	}
	s.traffic = &traffic{server: s}
	s.boundsLog = &boundsLog{server: s}
	s.usageLog = &usageLog{server: s}
	if b := settings.CallerBounds(); b != (bounder.Limits{}) {
		s.bounds = bounder.New(b, clock, s.evict)
	}
	s.quarantine = quarantiner.New(clock, &quarantineLog{s})
	s.live.Store(settings)
	s.measurer = measurer.New(s.gauges())
	if settings.Links != configurer.LinksPlain {
		var err error
		if s.sealer, err = sealer.New(settings.SecretBytes()); err != nil {
			return nil, err
		}
	}
	if err := s.openState(); err != nil {
		return nil, err
	}
	s.buildState()
	s.buildDataPath()
	return s, nil
}

// openState opens the data folder, if there is one, and loads the stored state.
func (s *Server) openState() error {
	var disk storer.Disk
	if s.settings.Data != "" {
		open := storer.Open
		if s.settings.Found {
			open = storer.OpenFounding
		}
		folder, err := open(s.settings.Data, s.settings.Instance)
		if err != nil {
			return err
		}
		if s.founding, err = folder.Founding(); err != nil {
			return err
		}
		s.folder, disk = folder, folder
		if err := s.openReplica(folder); err != nil {
			return err
		}
	}
	var err error
	if s.config, err = enforcer.Open(disk, s.iface.Interpret); err != nil {
		return err
	}
	s.withdrawn, err = withdrawer.Open(disk)
	return err
}

// openReplica loads the state that only nodes with a data folder have.
func (s *Server) openReplica(folder *storer.Folder) error {
	var err error
	if s.acceptor, err = replicator.OpenAcceptor(folder, folder.Identity(), s.settings.Instance); err != nil {
		return err
	}
	claims, err := folder.OpenJournal("claims")
	if err != nil {
		return err
	}
	if s.store, err = deduplicator.OpenStore(s.clock, claims); err != nil {
		return err
	}
	trail, err := folder.OpenJournal("audit")
	if err != nil {
		return err
	}
	if s.audit, err = auditor.Open(trail); err != nil {
		return err
	}
	departures, err := folder.OpenJournal("departures")
	if err != nil {
		return err
	}
	s.departures, err = registrar.Open(departures)
	return err
}

// buildState makes the components that maintain the node's state.
func (s *Server) buildState() {
	run := randomID()
	s.caller = caller.New(s.sealer.Client(), s.traffic.countMessage)
	s.fetcher = fetcher.New(fetcher.Options{
		Fetch: s.caller.Fetch, Config: s.config, Apply: s.applyValue, FullValue: s.folder != nil, Replicas: s.otherReplicas, Clock: s.clock, Log: s.log,
	})
	s.nodeState = &nodeState{config: s.config, withdrawn: s.withdrawn, quarantine: s.quarantine, fetcher: s.fetcher, reportError: s.reportError, learnLeft: func(life string) { s.announcer.LearnLeft(life) }}
	self := &control.Entry{
		Instance: s.settings.Instance, Centre: s.settings.Centre, Address: s.settings.Peer,
		Incarnation: uint64(s.started.UnixMilli()), Replica: s.folder != nil,
	}
	if s.folder != nil {
		self.Identity = s.folder.Identity()
	}
	s.udpTransport = &udpTransport{sealer: s.sealer, countEvent: s.countEvent, meter: s.traffic.countMessage}
	s.gossip = gossiper.New(self, s.seeds(), s.clock, s.udpTransport, s.nodeState, newRandom())
	s.udpTransport.receive = s.gossip.Receive
	s.directory = &directory{gossip: s.gossip, config: s.config, caller: s.caller, centre: s.settings.Centre, clock: s.clock, holders: map[string]string{}, unresponsive: map[string]time.Time{}}
	s.proposer = replicator.NewProposer(s.caller, s.clock, s.settings.Instance+"/"+run, newRandom(), s.applyValue)
	s.witness = limiter.NewWitness(s.clock, s.nodeState.Version)
	s.holder = limiter.NewHolder(s.clock, s.config, s.directory, s.settings.Instance, s.settings.Centre, rand.Uint64(), s.log)
	s.tokens = limiter.NewTokenClient(s.clock, s.directory, limiter.ByDemand{}, s.settings.Instance, s.settings.Centre, s.nodeState.Version, &limits{s})
	s.config.Subscribe(func(c *enforcer.Config) {
		d := c.Declaration()
		s.log.Info("inforce", "version", c.Version(), "revision", c.Revision(), "epoch", c.Value().Epoch,
			"routes", len(d.Routes), "teams", len(d.Teams), "rate", d.TotalRate(), "heard", s.fetcher.Age(c.Version()))
		s.gossip.BroadcastVersion()
		s.fetcher.VersionApplied()
	})
}

// seeds lists the addresses of the seeds and initial replicas without this node's
// own; the node joins the gossip through them.
func (s *Server) seeds() []string {
	var list []string
	live := s.live.Load()
	for _, address := range append(append([]string(nil), live.Seeds...), live.Replicas...) {
		if address != s.settings.Peer {
			list = append(list, address)
		}
	}
	return list
}

// Reload applies those of the newer settings that may change while the node runs.
func (s *Server) Reload(newer *configurer.Settings) {
	s.live.Store(s.settings.Reload(newer))
	s.gossip.SetSeeds(s.seeds())
	s.applyColdBound()
	s.log.Info("reload", "seeds", s.seeds(), "grace", newer.Grace.Duration, "drain", newer.Drain.Duration)
}

// buildDataPath makes the components that handle requests.
func (s *Server) buildDataPath() {
	s.admitter = admitter.New(s.clock, limitAlgorithm(s.settings.Rule))
	if s.settings.Shedding == configurer.SheddingChains {
		s.admitter.UseDownstreamFirst()
		s.chains = &shedder.Chains{}
	}
	objectives := s.settings.Waiting == configurer.WaitingObjective
	if objectives {
		s.admitter.UseObjectives()
	}
	// Idle connections to other nodes make room before those to the target, which cost it
	// more.
	s.outgoing = dialer.NewBudget(s.settings.OutgoingLimit())
	peerTransport, peerConnector := forwarder.NewPeerTransport(s.sealer.Client(), s.outgoing), s.plainPeerConnector()
	s.connector = connector.New(s.clock, connector.TargetIdleTimeout)
	s.connector.UseBudget(s.outgoing)
	claimer := deduplicator.NewClaimer(s.clock, s.caller, func() (uint64, []*control.Member) {
		v := s.config.Current().Value()
		return v.Epoch, v.Replicas
	}, randomID)
	s.router = router.New(s.clock, s.settings.Instance, s.settings.Centre, newRandom())
	byFinish := s.settings.Placement == configurer.PlacementFinish
	if byFinish {
		s.router.PlaceByFinish()
	}
	if enforcesColdBound(s.settings) {
		s.router.UseCold()
	}
	if s.settings.Pace == configurer.PaceFound {
		s.admitter.UseFoundPace()
		s.router.UseTargetPace()
	}
	s.forwarder = forwarder.New(forwarder.Deps{
		Clock: s.clock, Log: s.log, Config: s.config, Withdrawn: s.withdrawn, Quarantine: s.quarantine,
		Limiter: s.tokens, Claimer: claimer, Admitter: s.admitter, Chains: s.chains, Objectives: objectives, CountEvent: s.countEvent, Observer: s.measurer,
		Router:        s.router,
		ReportWork:    byFinish,
		PeerTransport: peerTransport,
		PeerConnector: peerConnector,
		PeerScheme:    s.peerScheme(), Dialect: s.iface.Dialect,
		TargetConnector:   s.connector,
		Service:           s.ownService,
		ReportMisdirected: func(t *forwarder.Target) { s.announcer.ReportMisdirected(t) },
		Targets:           s.directory.targets,
		DrainedCentres:    s.directory.drainedCentres,
		Centre:            s.settings.Centre,
		Target:            func() *forwarder.Target { return s.announcer.Target() },
		Ready:             s.ready, InContact: s.inContact, Behind: s.fetcher.Behind, Changed: s.fetcher.Changed,
		CheckTarget:   func(t *forwarder.Target) { s.announcer.CheckTarget(t) },
		TargetLeaving: s.targetLeaving,
		CountBytes:    s.traffic.countRequest, Retries: s.retryBounds, RecordSuccess: s.recordSuccess, Stopping: s.stopping.Load,
	})
	s.announcer = announcer.New(s.clock, s, s.forwarder.Inflight)
	s.announcer.SetPlace(s.place)
	s.announcer.SetRecorder(&departureRecorder{server: s})
	s.applyDrains(s.config.Current())
	s.config.Subscribe(s.applyDrains)
	s.announcer.SetColdObserver(&ownCold{s})
	s.applyColdBound()
	s.config.Subscribe(func(*enforcer.Config) { s.applyColdBound() })
}

// plainPeerConnector makes the connector for requests without a body to other
// nodes; nil unless links between nodes are plain.
func (s *Server) plainPeerConnector() *connector.Connector {
	if s.settings.Links != configurer.LinksPlain {
		return nil
	}
	c := connector.New(s.clock, forwarder.PeerIdleTimeout)
	c.UseBudget(s.outgoing)
	return c
}

func (s *Server) peerScheme() string {
	if s.sealer.IsPlain() {
		return "http"
	}
	return "https"
}

// place is what the settings say about this node's target.
func (s *Server) place() announcer.Place {
	live := s.live.Load()
	return announcer.Place{Service: live.Service, Address: live.Target}
}

// ownService is the service of this node's target; empty when it is not known.
func (s *Server) ownService() string {
	if service := s.live.Load().Service; service != "" {
		return service
	}
	if t := s.announcer.Target(); t != nil {
		return t.Service
	}
	return ""
}

func limitAlgorithm(name string) admitter.LimitAlgorithm {
	switch name {
	case configurer.RuleGradient:
		return &admitter.Gradient{}
	case configurer.RuleStatic:
		return admitter.Static{}
	}
	return &admitter.AIMD{}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// countEvent adds to a counter of events.
func (s *Server) countEvent(name string, delta int64) {
	s.metrics.Add(name, delta)
	s.measurer.Event(name, delta)
}

// reportError logs and counts an error in the node's own state.
func (s *Server) reportError(event string, err error) {
	s.log.Error(event, "error", err.Error())
	s.countEvent("errors", 1)
}

// applyValue puts a chosen value into force if it is newer than the one in force.
func (s *Server) applyValue(v *control.Value) {
	began := s.clock.Now()
	fresh, err := s.config.Apply(v)
	if err != nil {
		s.reportError("inforce", err)
	}
	if fresh && s.folder != nil {
		s.log.Info("saved", "version", v.Version, "took", s.clock.Now().Sub(began))
	}
}

// TargetChanged implements announcer.Listener.
func (s *Server) TargetChanged(t *forwarder.Target, cold time.Duration) {
	if t == nil {
		s.log.Info("target_gone")
	} else {
		// Each running request takes a connection of its own, so the bound on
		// connections bounds the slots too.
		s.admitter.SetSlots(min(t.Slots, s.settings.Connections), cold)
		s.log.Info("target", "service", t.Service, "address", t.Address, "slots", t.Slots, "life", t.Life, "cold", cold)
	}
	s.gossip.UpdateSelf(func(e *control.Entry) {
		if e.Service != "" || e.Slots != 0 {
			// Otherwise the entry names a life that has left, which others remember
			// until the next one.
			e.Life = ""
		}
		e.Service, e.Slots, e.Cold = "", 0, 0
		if t != nil && s.stopping.Load() == nil {
			e.Service, e.Slots, e.Life = t.Service, uint32(t.Slots), t.Life
			e.Cold = uint32(max(cold, s.coldLeft(), 0).Milliseconds())
		}
	})
}

// TargetLeft implements announcer.Listener. The life stays in this node's entry, so that
// other nodes remember after a restart of this one that it has left.
func (s *Server) TargetLeft(life string) {
	s.log.Info("target_left", "life", life)
	s.gossip.UpdateSelf(func(e *control.Entry) {
		e.Service, e.Slots, e.Life, e.Cold = "", 0, life, 0
	})
	s.gossip.Flush()
}

// TargetClosed implements announcer.Listener.
func (s *Server) TargetClosed() { s.release(everySender, 0) }

// AnnouncementIgnored implements announcer.Listener.
func (s *Server) AnnouncementIgnored(err *announcer.IgnoredError) {
	s.countEvent("reports_ignored", 1)
	ann := err.Announcement
	s.log.Warn("report_ignored", "life", ann.Life, "service", ann.Service, "address", ann.Address, "reason", string(err.Reason))
}

// targetLeaving stops new work for a target that states that it leaves. Requests from
// nodes that do not know it yet are still served for the drain time.
func (s *Server) targetLeaving(t *forwarder.Target) {
	s.announcer.Leave(t.Life, cmp.Or(s.live.Load().Drain.Duration, announcer.LeavePropagationDelay))
}

// TargetCrashed implements announcer.Listener. It announces the requests that were
// running, so that all nodes count crashes per request.
func (s *Server) TargetCrashed(t *forwarder.Target) {
	report := s.forwarder.RequestsAtCrash(t.Life)
	id := crashID(s.settings.Instance, t)
	s.log.Warn("crash", "service", t.Service, "life", t.Life, "crash", formatCrashIDs([]uint64{id}), "requests", len(report.Digests),
		"running", report.Running, "broken", report.Broken, "unanswered", report.Unanswered, "earlier", report.Earlier, "oldest", report.Oldest)
	s.countEvent("crashes", 1)
	parts, decided := s.quarantine.RecordCrash(id, report.Digests)
	s.gossip.Broadcast(gossiper.Items{Crashes: parts, Suspects: decided})
}

// recordSuccess clears a request of the crashes during which it was running: it
// has succeeded, so it did not cause them.
func (s *Server) recordSuccess(digest []byte) {
	if cleared := s.quarantine.RecordSuccess(digest); cleared != nil {
		s.gossip.Broadcast(gossiper.Items{Suspects: cleared})
	}
}

// Run serves until the context ends, then stops gracefully: requests in flight
// may finish within the grace time.
func (s *Server) Run(ctx context.Context) error {
	opened, err := listenUDP(s.settings.Peer, s.sealer, s.countEvent)
	if err != nil {
		return err
	}
	s.udpTransport.conn = opened.conn
	listeners, err := s.listenAll()
	if err != nil {
		return err
	}
	for _, l := range listeners {
		go l.run()
	}
	controllersCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := newGroup()
	for _, c := range s.controllers() {
		group.start(controllersCtx, c)
	}
	s.log.Info("start", "instance", s.settings.Instance, "centre", s.settings.Centre, "listen", s.settings.Listen,
		"peer", s.settings.Peer, "admin", s.settings.Admin, "control", s.settings.Control, "links", s.settings.Links,
		"data", s.settings.Data, "version", s.config.Current().Version())
	<-ctx.Done()
	s.stop(listeners)
	cancel()
	unfinished := group.wait(s.clock.After(controllersTimeout))
	s.log.Info("stop", "instance", s.settings.Instance, "took", s.clock.Now().Sub(s.stopBegan), "unfinished", unfinished)
	return nil
}

// listenAll opens the listeners that the settings have addresses for, the one for
// callers first.
func (s *Server) listenAll() ([]*listener, error) {
	type spec struct {
		address string
		handler http.Handler
		useTLS  bool
		refuse  func(http.ResponseWriter, *forwarder.Refusal)
	}
	own := forwarder.Native{}.Refuse
	specs := []spec{
		{s.settings.Listen, s.forwarder, false, s.iface.Dialect.Refuse},
		{s.settings.Peer, s.peerHandler(), !s.sealer.IsPlain(), own},
		{s.settings.Admin, s.adminHandler(), false, own},
		{s.settings.Ready, http.HandlerFunc(s.serveReady), false, own},
		{s.settings.Metrics, s.measurer.Handler(), false, own},
	}
	if s.iface.Control != nil {
		specs = append(specs, spec{s.settings.Control, s.iface.Control(&controlBackend{s}), false, s.iface.Dialect.Refuse})
	}
	var listeners []*listener
	for _, p := range specs {
		if p.address == "" {
			continue
		}
		l, err := s.listen(p.address, p.handler, p.useTLS, p.refuse)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// serveReady answers the readiness check.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() != nil || !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
