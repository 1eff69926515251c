package server

import "github.com/primrosewall/primrosewall/pkg/measurer"

// gauges lists the metrics whose values are read when metrics are requested.
func (s *Server) gauges() []measurer.Gauge {
	return []measurer.Gauge{
		{Name: "primrose_version", Help: "Version of the configuration in force.", Read: func() float64 { return float64(s.config.Current().Version()) }},
		{Name: "primrose_revision", Help: "Number that the operator gave to it.", Read: func() float64 { return float64(s.config.Current().Revision()) }},
		{Name: "primrose_version_heard", Help: "Highest version that another instance is known to have, or the one in force.", Read: func() float64 { version, _ := s.fetcher.Behind(); return float64(version) }},
		{Name: "primrose_behind_seconds", Help: "Time for which the version in force has been known not to be the highest.", Read: func() float64 { _, age := s.fetcher.Behind(); return age.Seconds() }},
		{Name: "primrose_drained_centres", Help: "Drained data centres of the version in force.", Read: func() float64 { return float64(len(s.config.Current().Drains())) }},
		{Name: "primrose_drained", Help: "Whether the own data centre is drained: 1, or 0.", Read: s.ownDrained},
		{Name: "primrose_epoch", Help: "Epoch of the set of replicas.", Read: func() float64 { return float64(s.config.Current().Value().GetEpoch()) }},
		{Name: "primrose_members", Help: "Instances in the gossip table.", Read: func() float64 { return float64(len(s.gossip.Members())) }},
		{Name: "primrose_replica_heard_seconds", Help: "Age of the last word of a replica.", Read: s.replicaAge},
		{Name: "primrose_slots", Help: "Slots that the own target announced.", Read: func() float64 { return float64(s.admitter.Load().Slots) }},
		{Name: "primrose_limit", Help: "Concurrency limit of the own target.", Read: func() float64 { return float64(s.admitter.Load().Limit) }},
		{Name: "primrose_inflight", Help: "Requests running at the own target.", Read: func() float64 { return float64(s.admitter.Load().Inflight) }},
		{Name: "primrose_queued", Help: "Requests waiting for the own target.", Read: func() float64 { return float64(s.admitter.Load().Queued) }},
		{Name: "primrose_level", Help: "Priority below which requests are better refused at their entry node.", Read: func() float64 { return float64(s.admitter.Load().Level) }},
		{Name: "primrose_demand", Help: "Demand for the own target in slots, with what entry nodes hold back.", Read: func() float64 { return s.admitter.Load().Demand }},
		{Name: "primrose_passing_share", Help: "Least share of any route's requests of a rank that this entry node lets pass; 1 unless shedding is chains.", Read: s.passingShare},
		{Name: "primrose_target_rate", Help: "Requests a second that the own target takes at most, as it states; -1 if it names no limit.", Read: s.targetRate},
		{Name: "primrose_target_cold_limit", Help: "Requests that the own target may get in any second while it is cold; -1 if it is not.", Read: s.ownTargetColdLimit},
		{Name: "primrose_target_connections", Help: "Connections made to targets since the start.", Read: func() float64 { return float64(s.connector.Dialed()) }},
		{Name: "primrose_updates", Help: "Updates that this node still has to tell others, or keeps for members that become known.", Read: func() float64 { return float64(s.gossip.PendingUpdates()) }},
		{Name: "primrose_suspects", Help: "Requests that ran at a crash of a target.", Read: func() float64 { suspects, _ := s.quarantine.Count(); return float64(suspects) }},
		{Name: "primrose_barred", Help: "Requests that are refused, as they ran at more than one crash.", Read: func() float64 { _, barred := s.quarantine.Count(); return float64(barred) }},
		{Name: "primrose_connections", Help: "Connections open at all listeners, where they are bounded.", Read: func() float64 { connections, _ := s.boundsUsage(); return float64(connections) }},
		{Name: "primrose_outgoing", Help: "Connections open to targets and other nodes for requests, where they are bounded.", Read: func() float64 { return float64(s.outgoing.Open()) }},
		{Name: "primrose_lingering", Help: "Connections closed for writing that wait for their callers to close.", Read: func() float64 { return float64(s.closer.Lingering()) }},
		{Name: "primrose_linger_cut", Help: "Such connections closed before their callers, since the start.", Read: func() float64 { return float64(s.closer.Cut()) }},
		{Name: "primrose_head_bytes", Help: "Memory of heads and short bodies as counted for their bound.", Read: func() float64 { _, bytes := s.boundsUsage(); return float64(bytes) }},
		{Name: "primrose_processor", Help: "Processor time used in the last second, as a fraction of a processor.", Read: s.usageLog.lastProcessor},
		{Name: "primrose_timer_late_seconds", Help: "Longest delay of a timer in the last second: how long what is ready waits for the processor.", Read: s.usageLog.lastLateness},
		{Name: "primrose_uptime_seconds", Help: "Time since the start.", Read: func() float64 { return s.clock.Now().Sub(s.started).Seconds() }},
	}
}

// boundsUsage returns what is counted for the bounds on callers.
func (s *Server) boundsUsage() (connections int, bytes int64) {
	if s.bounds == nil {
		return 0, 0
	}
	return s.bounds.Usage()
}

// replicaAge returns the seconds since the last contact with a replica, or -1
// before the first.
func (s *Server) replicaAge() float64 {
	last := s.gossip.LastReplicaContact()
	if last.IsZero() {
		return -1
	}
	return s.clock.Now().Sub(last).Seconds()
}

// ownDrained returns 1 if the own data centre is drained, and 0 otherwise.
func (s *Server) ownDrained() float64 {
	if s.config.Current().Drained(s.settings.Centre) {
		return 1
	}
	return 0
}

// targetRate returns the limit that the own target names, or -1 without one.
func (s *Server) targetRate() float64 {
	if rate, limited := s.forwarder.TargetLimit(); limited {
		return rate
	}
	return -1
}

// passingShare returns the least share that this entry node lets pass.
func (s *Server) passingShare() float64 {
	if s.chains == nil {
		return 1
	}
	return s.chains.Least(s.clock.Now())
}

// MetricNames returns the metrics of this node with their help texts.
func (s *Server) MetricNames() (map[string]string, error) { return s.measurer.Names() }
