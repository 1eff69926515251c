package server

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// group runs controllers and waits for them to end.
type group struct {
	// running holds the type names of controllers that have not ended.
	running []string
	ended   chan string
}

func newGroup() *group { return &group{ended: make(chan string)} }

// groupMember is one controller of a group.
type groupMember struct {
	group      *group
	name       string
	controller Controller
}

func (g *group) start(ctx context.Context, c Controller) {
	m := &groupMember{group: g, name: strings.TrimPrefix(fmt.Sprintf("%T", c), "*"), controller: c}
	g.running = append(g.running, m.name)
	go m.run(ctx)
}

func (m *groupMember) run(ctx context.Context) {
	m.controller.Run(ctx)
	m.group.ended <- m.name
}

// wait returns when all controllers have ended. At the timeout it returns the
// type names of those that have not.
func (g *group) wait(timeout <-chan time.Time) []string {
	for len(g.running) > 0 {
		select {
		case name := <-g.ended:
			at := slices.Index(g.running, name)
			g.running = slices.Delete(g.running, at, at+1)
		case <-timeout:
			return g.running
		}
	}
	return nil
}
