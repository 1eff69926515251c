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

// warmUp is the time before the load, in which targets are no longer cold.
const warmUp = 4 * time.Second

// fleet is the system under load: per target one node, and the stand-ins.
// All run inside the tool's process but talk over TCP as on many machines.
type fleet struct {
	plan    *Plan
	entries []string
	layers  [][]*place
	keys    map[string]string
	cancel  context.CancelFunc
	stopped sync.WaitGroup
	folder  string
}

// place is one server: a node and a stand-in target.
type place struct {
	settings *configurer.Settings
	options  emulator.Options
	cancel   context.CancelFunc
	done     chan struct{}
}

// addresses of the nodes and stand-in targets of all trials in this process.
var addresses emulator.Reserver

// startNodes starts the nodes and their stand-in targets, and declares the
// teams.
func startNodes(ctx context.Context, p *Plan) (*fleet, error) {
	folder, err := os.MkdirTemp("", "primrose-trial")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{plan: p, keys: map[string]string{}, cancel: cancel, folder: folder}
	f.layout()
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startBare starts the stand-in targets alone; callers and targets choose
// targets at random and retry. This is the baseline.
func startBare(ctx context.Context, p *Plan) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{plan: p, keys: map[string]string{}, cancel: cancel}
	f.layout()
	f.entries = nil
	for l := range f.layers {
		for _, place := range f.layers[l] {
			place.options.Admin = ""
			place.options.Retries = p.Retries
			if l+1 < len(f.layers) {
				for _, next := range f.layers[l+1] {
					place.options.Direct = append(place.options.Direct, next.options.Address)
				}
			}
			if l == 0 {
				f.entries = append(f.entries, place.options.Address)
			}
			if err := place.begin(ctx); err != nil {
				f.close()
				return nil, err
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	return f, nil
}

// layout gives every server its addresses. The first node is the replica.
func (f *fleet) layout() {
	first := ""
	for l, layer := range f.plan.Layers {
		var places []*place
		for i := range layer.Targets {
			s := configurer.Default()
			s.Instance = fmt.Sprintf("%s%d", layer.Service, i)
			s.Centre = "trial"
			s.Listen, s.Peer, s.Admin = addresses.Next(), addresses.Next(), addresses.Next()
			s.Data, s.Replicas, s.Seeds = "", nil, nil
			s.Connections = layer.Slots + 20
			if f.plan.Rule != "" {
				s.Rule = f.plan.Rule
			}
			if first == "" {
				first, s.Data = s.Peer, f.folder+"/data"
			}
			s.Replicas, s.Seeds = []string{first}, []string{first}
			o := emulator.Options{
				Service: layer.Service, Address: addresses.Next(), Admin: s.Admin, Entry: s.Listen, Slots: layer.Slots,
				Time: time.Duration(layer.Time * float64(time.Millisecond)), Cold: time.Duration(layer.Cold) * time.Millisecond,
			}
			if l+1 < len(f.plan.Layers) {
				o.Next = "/" + f.plan.Layers[l+1].Service
			}
			places = append(places, &place{settings: s, options: o})
		}
		f.layers = append(f.layers, places)
	}
	for _, p := range f.layers[0] {
		f.entries = append(f.entries, p.settings.Listen)
	}
}

func (f *fleet) start(ctx context.Context) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, layer := range f.layers {
		for _, p := range layer {
			node, err := server.New(p.settings, timekeeper.BootTimeClock{}, log, nil)
			if err != nil {
				return err
			}
			f.stopped.Add(1)
			r := &running{fleet: f, node: node}
			go r.run(ctx)
			if err := p.begin(ctx); err != nil {
				return err
			}
		}
	}
	return f.declare(ctx)
}

// running is one node of the fleet.
type running struct {
	fleet *fleet
	node  *server.Server
}

func (r *running) run(ctx context.Context) {
	defer r.fleet.stopped.Done()
	// The run ends with the trial.
	_ = r.node.Run(ctx)
}

// begin starts the stand-in of a place.
func (p *place) begin(ctx context.Context) error {
	t, err := emulator.New(p.options)
	if err != nil {
		return err
	}
	ctx, p.cancel = context.WithCancel(ctx)
	p.done = make(chan struct{})
	s := &standing{target: t, done: p.done}
	go s.run(ctx)
	return nil
}

type standing struct {
	target *emulator.Target
	done   chan struct{}
}

func (s *standing) run(ctx context.Context) {
	defer close(s.done)
	// The node may stop first; the trial is over then.
	_ = s.target.Run(ctx)
}

// declare gives the teams their limits and keys and waits until they work.
func (f *fleet) declare(ctx context.Context) error {
	d := &declarer.Declaration{Centres: map[string]declarer.Centre{"trial": {Witnesses: f.witnesses()}}, Teams: map[string]declarer.Team{}}
	for _, t := range f.plan.Teams {
		key := "pwk_trial_key_of_team_" + t.Name
		f.keys[t.Name] = key
		d.Teams[t.Name] = declarer.Team{Keys: []string{declarer.HashKey(key)}, Rate: t.Rate, Burst: t.Burst}
	}
	for _, l := range f.plan.Layers {
		none := uint32(declarer.DefaultRetries)
		for _, important := range []bool{true, false} {
			r := declarer.Route{Name: l.Service, Path: "/" + l.Service, Service: l.Service, Retries: &none, Timeout: f.plan.Timeout}
			if important {
				r.Name, r.Path, r.Important = l.Service+"1", "/important/"+l.Service, true
			}
			d.Routes = append(d.Routes, r)
		}
	}
	if err := f.propose(ctx, d); err != nil {
		return err
	}
	if err := f.ready(); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}

func (f *fleet) witnesses() []string {
	var names []string
	for _, p := range f.layers[0] {
		names = append(names, p.settings.Instance)
	}
	return names[:min(3, len(names))]
}

// propose plans and confirms over the first node's admin address.
func (f *fleet) propose(ctx context.Context, d *declarer.Declaration) error {
	client := control.NewOperatorProtobufClient("http://"+f.layers[0][0].settings.Admin, http.DefaultClient)
	text, err := d.Canonical()
	if err != nil {
		return err
	}
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
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
	return errors.New("the declaration was not accepted")
}

// ready waits until every entry serves every team.
func (f *fleet) ready() error {
	end := time.Now().Add(15 * time.Second)
	for _, entry := range f.entries {
		for team := range f.keys {
			for f.ask(entry, team) != http.StatusOK {
				if time.Now().After(end) {
					return fmt.Errorf("entry %s does not serve team %s", entry, team)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return nil
}

func (f *fleet) ask(entry, team string) int {
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

// close stops everything.
func (f *fleet) close() {
	f.cancel()
	f.stopped.Wait()
	if f.folder != "" {
		os.RemoveAll(f.folder)
	}
}

// setTime changes the service time of a service's targets.
func (f *fleet) setTime(service string, factor float64) {
	for l, layer := range f.plan.Layers {
		if layer.Service != service {
			continue
		}
		for _, p := range f.layers[l] {
			body := strings.NewReader(fmt.Sprint(layer.Time * factor))
			response, err := http.Post("http://"+p.options.Address+emulator.TimePath, "text/plain", body)
			if err == nil {
				response.Body.Close()
			}
		}
	}
}

// leave stops half of a service's targets; they come back cold.
func (f *fleet) leave(service string) []*place {
	var gone []*place
	for l, layer := range f.plan.Layers {
		if layer.Service != service {
			continue
		}
		for _, p := range f.layers[l][:len(f.layers[l])/2] {
			p.cancel()
			gone = append(gone, p)
		}
	}
	return gone
}
