package trialer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/emulator"
	"github.com/primrosewall/primrosewall/pkg/server"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// warmUpDelay is the pause between the start of the fleet and the load. Targets
// with a ColdTime below it are no longer cold when the load starts.
const warmUpDelay = 4 * time.Second

// fleet is the system under load: the stand-in targets and, in ModeNodes, one
// node per target. All run in this process but talk over TCP, as they would on
// separate machines.
type fleet struct {
	plan *Plan
	// entries are the addresses that callers send to.
	entries []string
	// layers holds the hosts of each service, in the order of Plan.Layers.
	layers [][]*host
	// keys maps each team's name to its key; it is empty in ModeBare.
	keys       map[string]string
	cancel     context.CancelFunc
	nodesDone  sync.WaitGroup
	dataFolder string
}

// host is one emulated machine: a node and its stand-in target.
type host struct {
	settings   *configurer.Settings
	options    emulator.Options
	stopTarget context.CancelFunc
	// done is closed when the target has stopped.
	done chan struct{}
}

// addresses supplies the addresses of all nodes and stand-in targets in this
// process.
var addresses emulator.Reserver

// startNodes starts the nodes and their stand-in targets and puts a declaration
// with the teams into force.
func startNodes(ctx context.Context, p *Plan) (*fleet, error) {
	dataFolder, err := os.MkdirTemp("", "primrose-trial")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{plan: p, keys: map[string]string{}, cancel: cancel, dataFolder: dataFolder}
	f.createHosts()
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startBare starts only the stand-in targets. Callers and targets choose a random
// target of the service that they call, and retry failures at once.
func startBare(ctx context.Context, p *Plan) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{plan: p, keys: map[string]string{}, cancel: cancel}
	f.createHosts()
	f.entries = nil
	for l := range f.layers {
		for _, h := range f.layers[l] {
			h.options.Admin = ""
			h.options.Retries = p.Retries
			if l+1 < len(f.layers) {
				for _, next := range f.layers[l+1] {
					h.options.DirectTargets = append(h.options.DirectTargets, next.options.Address)
				}
			}
			if l == 0 {
				f.entries = append(f.entries, h.options.Address)
			}
			if err := h.startTarget(ctx); err != nil {
				f.close()
				return nil, err
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	return f, nil
}

// createHosts sets the configuration of all hosts, without starting them. The
// first node is the only replica and the seed of all nodes.
func (f *fleet) createHosts() {
	replica := ""
	for l, layer := range f.plan.Layers {
		var hosts []*host
		for i := range layer.Targets {
			nodeSettings := configurer.Default()
			nodeSettings.Instance = fmt.Sprintf("%s%d", layer.Service, i)
			nodeSettings.Centre = "trial"
			nodeSettings.Listen, nodeSettings.Peer, nodeSettings.Admin = addresses.Next(), addresses.Next(), addresses.Next()
			nodeSettings.Data, nodeSettings.Replicas, nodeSettings.Seeds = "", nil, nil
			nodeSettings.Connections = layer.Slots + 20
			if f.plan.Rule != "" {
				nodeSettings.Rule = f.plan.Rule
			}
			if replica == "" {
				replica, nodeSettings.Data = nodeSettings.Peer, f.dataFolder+"/data"
			}
			nodeSettings.Replicas, nodeSettings.Seeds = []string{replica}, []string{replica}
			targetOptions := emulator.Options{
				Service: layer.Service, Address: addresses.Next(), Admin: nodeSettings.Admin, NodeEntry: nodeSettings.Listen, Slots: layer.Slots,
				ServiceTime: time.Duration(layer.ServiceTime * float64(time.Millisecond)), ColdTime: time.Duration(layer.ColdTime) * time.Millisecond,
			}
			if l+1 < len(f.plan.Layers) {
				targetOptions.Next = "/" + f.plan.Layers[l+1].Service
			}
			hosts = append(hosts, &host{settings: nodeSettings, options: targetOptions})
		}
		f.layers = append(f.layers, hosts)
	}
	for _, h := range f.layers[0] {
		f.entries = append(f.entries, h.settings.Listen)
	}
}

// start starts all nodes and targets and declares the teams.
func (f *fleet) start(ctx context.Context) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, layer := range f.layers {
		for _, h := range layer {
			node, err := server.New(h.settings, timekeeper.BootTimeClock{}, log, nil)
			if err != nil {
				return err
			}
			f.nodesDone.Add(1)
			r := &nodeRunner{fleet: f, node: node}
			go r.run(ctx)
			if err := h.startTarget(ctx); err != nil {
				return err
			}
		}
	}
	return f.declareTeams(ctx)
}

// nodeRunner runs one node.
type nodeRunner struct {
	fleet *fleet
	node  *server.Server
}

func (r *nodeRunner) run(ctx context.Context) {
	defer r.fleet.nodesDone.Done()
	// The node runs until the trial cancels the context.
	_ = r.node.Run(ctx)
}

// startTarget starts the stand-in target of a host.
func (h *host) startTarget(ctx context.Context) error {
	t, err := emulator.New(h.options)
	if err != nil {
		return err
	}
	ctx, h.stopTarget = context.WithCancel(ctx)
	h.done = make(chan struct{})
	r := &targetRunner{target: t, done: h.done}
	go r.run(ctx)
	return nil
}

// targetRunner runs one stand-in target and closes done when it has stopped.
type targetRunner struct {
	target *emulator.Target
	done   chan struct{}
}

func (r *targetRunner) run(ctx context.Context) {
	defer close(r.done)
	// At the end of the trial the node may stop first; withdrawing the
	// announcement fails then.
	_ = r.target.Run(ctx)
}

// declareTeams puts the teams' limits and keys into force, with two routes per
// service: one for ordinary and one for important requests. It returns when the
// entries serve every team and warmUpDelay has passed.
func (f *fleet) declareTeams(ctx context.Context) error {
	d := &declarer.Declaration{Centres: map[string]declarer.Centre{"trial": {Witnesses: f.witnesses()}}, Teams: map[string]declarer.Team{}}
	for _, t := range f.plan.Teams {
		key := "pwk_trial_key_of_team_" + t.Name
		f.keys[t.Name] = key
		d.Teams[t.Name] = declarer.Team{Keys: []string{declarer.HashKey(key)}, Rate: t.Rate, Burst: t.Burst}
	}
	for _, l := range f.plan.Layers {
		retries := uint32(declarer.DefaultRetries)
		for _, important := range []bool{true, false} {
			r := declarer.Route{Name: l.Service, Path: "/" + l.Service, Service: l.Service, Retries: &retries, Timeout: f.plan.Timeout}
			if important {
				r.Name, r.Path, r.Important = l.Service+"1", "/important/"+l.Service, true
			}
			d.Routes = append(d.Routes, r)
		}
	}
	if err := f.putInForce(ctx, d); err != nil {
		return err
	}
	if err := f.waitUntilServing(); err != nil {
		return err
	}
	time.Sleep(warmUpDelay)
	return nil
}

// witnesses are the first nodes of the entry layer, at most three.
func (f *fleet) witnesses() []string {
	var names []string
	for _, h := range f.layers[0] {
		names = append(names, h.settings.Instance)
	}
	return names[:min(3, len(names))]
}

// putInForce plans and confirms a declaration through the first node's admin
// address, and tries again for up to 10 s, since the node may not be ready yet.
func (f *fleet) putInForce(ctx context.Context, d *declarer.Declaration) error {
	client := control.NewOperatorProtobufClient("http://"+f.layers[0][0].settings.Admin, http.DefaultClient)
	text, err := d.Canonical()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		plan, err := client.Plan(ctx, &control.PlanRequest{Declaration: text})
		if err == nil && plan.Base > 0 {
			id := declarer.PlanID(plan.Base, text)
			reply, err := client.Confirm(ctx, &control.ConfirmRequest{Id: id, Base: plan.Base, Declaration: text})
			if err == nil && reply.Refused == "" {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the first node did not accept the declaration within 10 s")
}

// waitUntilServing waits until every entry serves every team, for up to 15 s.
func (f *fleet) waitUntilServing() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, entry := range f.entries {
		for team := range f.keys {
			for f.probe(entry, team) != http.StatusOK {
				if time.Now().After(deadline) {
					return fmt.Errorf("entry %s does not serve team %s", entry, team)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return nil
}

// probe sends one request of a team and returns the status code, or 0 without a
// response.
func (f *fleet) probe(entry, team string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+entry+"/"+f.plan.Layers[0].Service, nil)
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+f.keys[team])
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// close stops all nodes and targets, waits for the nodes and removes the data
// folder.
func (f *fleet) close() {
	f.cancel()
	f.nodesDone.Wait()
	if f.dataFolder != "" {
		os.RemoveAll(f.dataFolder)
	}
}

// scaleServiceTime sets the service time of a service's targets to the planned
// time multiplied by factor.
func (f *fleet) scaleServiceTime(service string, factor float64) {
	for l, layer := range f.plan.Layers {
		if layer.Service != service {
			continue
		}
		for _, h := range f.layers[l] {
			body := strings.NewReader(fmt.Sprint(layer.ServiceTime * factor))
			response, err := http.Post("http://"+h.options.Address+emulator.TimePath, "text/plain", body)
			if err == nil {
				response.Body.Close()
			}
		}
	}
}

// stopHalf stops half of a service's targets, rounded down, and returns their
// hosts. The nodes of these hosts keep running.
func (f *fleet) stopHalf(service string) []*host {
	var stopped []*host
	for l, layer := range f.plan.Layers {
		if layer.Service != service {
			continue
		}
		for _, h := range f.layers[l][:len(f.layers[l])/2] {
			h.stopTarget()
			stopped = append(stopped, h)
		}
	}
	return stopped
}
