package server

import (
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/fetcher"
	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/withdrawer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// nodeState connects gossip with the rest of the node: it provides the state to
// announce, and merges the state received from other nodes.
type nodeState struct {
	config     *enforcer.Enforcer
	withdrawn  *withdrawer.Withdrawer
	quarantine *quarantiner.Quarantiner
	fetcher    *fetcher.Fetcher
	// learnLeft is called with a life of the own target that had left before this node
	// started.
	learnLeft   func(life string)
	reportError func(event string, err error)
}

// Version implements gossiper.NodeState.
func (n *nodeState) Version() uint64 { return n.config.Current().Version() }

// LearnVersion implements gossiper.NodeState.
func (n *nodeState) LearnVersion(version uint64, address string) {
	n.fetcher.AddAdvert(version, address)
}

// LearnLeft implements gossiper.NodeState.
func (n *nodeState) LearnLeft(life string) { n.learnLeft(life) }

// Merge implements gossiper.NodeState.
func (n *nodeState) Merge(items gossiper.Items) gossiper.Items {
	var fresh gossiper.Items
	if len(items.Withdrawn) > 0 {
		var err error
		if fresh.Withdrawn, err = n.withdrawn.Add(items.Withdrawn); err != nil {
			n.reportError("withdrawn_save", err)
		}
	}
	fresh.Suspects = n.quarantine.Merge(items.Suspects)
	var decided []*control.Suspect
	fresh.Crashes, decided = n.quarantine.MergeCrashes(items.Crashes)
	fresh.Suspects = append(fresh.Suspects, decided...)
	return fresh
}

// Digest implements gossiper.NodeState.
func (n *nodeState) Digest() uint64 { return n.withdrawn.Digest() ^ n.quarantine.Digest() }

// All implements gossiper.NodeState.
func (n *nodeState) All() gossiper.Items {
	return gossiper.Items{Withdrawn: n.withdrawn.All(), Suspects: n.quarantine.All()}
}
