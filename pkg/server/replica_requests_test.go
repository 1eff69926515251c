package server

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/proto/control"
)

// askMember stands for the request to a member. Its address decides the outcome:
// "silent" never replies, "broken" fails, any other replies with the address.
func askMember(ctx context.Context, m *control.Member) (string, error) {
	switch m.Address {
	case "silent":
		<-ctx.Done()
		return "", ctx.Err()
	case "broken":
		return "", errors.New("connection reset")
	}
	return m.Address, ctx.Err()
}

func members(addresses ...string) []*control.Member {
	var list []*control.Member
	for _, a := range addresses {
		list = append(list, &control.Member{Address: a})
	}
	return list
}

// TestAskAllSkipsSilentReplicas guards against replicas that don't answer using up
// the time of a controller's step, so that claim records are never copied.
func TestAskAllSkipsSilentReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
		defer cancel()
		replies := askAll(ctx, members("silent", "silent", "broken", "a", "b"), askMember)
		qt.Check(t, replies, qt.DeepEquals, []string{"a", "b"})
		qt.Check(t, ctx.Err(), qt.IsNil)
	})
}

// TestAskInTurnSkipsSilentReplicas guards against replicas that don't answer
// keeping askInTurn from the one that does, so that audit entries stay missing.
func TestAskInTurnSkipsSilentReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
		defer cancel()
		reply, err := askInTurn(ctx, members("silent", "broken", "silent", "a"), askMember)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply, qt.Equals, "a")
		started := time.Now()
		_, err = askInTurn(ctx, members("broken"), askMember)
		qt.Check(t, err, qt.ErrorMatches, "connection reset")
		qt.Check(t, time.Since(started), qt.Equals, time.Duration(0))
	})
}
