package forwarder

import (
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// keyFilter finds the team of the caller's key. It looks the key up for every
// request, so that a withdrawal also takes effect on open connections.
type keyFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (k *keyFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.parent != nil {
		next(x)
		return
	}
	team, refusal := k.team(x)
	if refusal != nil && !x.route.Open {
		x.refuse(refusal)
		return
	}
	x.hop.Team = team
	x.hop.Rank = k.rank(x, team)
	next(x)
}

// rank returns the rank by which the request is admitted under overload. For a
// call, routeFilter has set it: to the rank of the inferred parent, or to the
// highest, since work was already done for the call.
func (k *keyFilter) rank(x *Exchange, team string) uint32 {
	if x.hop.Call {
		return x.hop.Rank
	}
	t, ok := x.config.Declaration().Teams[team]
	if !ok {
		return declarer.Rank(nil, x.route)
	}
	return declarer.Rank(&t, x.route)
}

func (k *keyFilter) team(x *Exchange) (string, *Refusal) {
	if x.keyHash == nil {
		return "", refuse(http.StatusUnauthorized, ReasonKey, 0, "this route needs a key; send it as Authorization: Bearer KEY")
	}
	if k.forwarder.deps.Withdrawn.Has(x.keyHash) {
		return "", refuse(http.StatusUnauthorized, ReasonKey, 0, "this key was withdrawn")
	}
	team, ok := x.config.Team(x.keyHash)
	if !ok {
		return "", refuse(http.StatusUnauthorized, ReasonKey, 0, "this key is not known")
	}
	if !k.forwarder.deps.InContact() {
		return "", refuse(http.StatusServiceUnavailable, ReasonContact, time.Second, "this node has been without contact to any replica for longer than its settings allow")
	}
	return team, nil
}
