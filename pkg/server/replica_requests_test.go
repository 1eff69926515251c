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

// askMember answers for a member by its address: "silent" never, "broken" with an
// error.
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

// TestSilentReplicaKeepsRecordsBack asks a set in which the first members are
// silent within the time of a controller's step.
func TestAskAllSkipsSilentReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
		defer cancel()
		replies := askAll(ctx, members("silent", "silent", "broken", "a", "b"), askMember)
		qt.Check(t, replies, qt.DeepEquals, []string{"a", "b"})
		qt.Check(t, ctx.Err(), qt.IsNil)
	})
}

// TestSilentReplicaKeepsHistoryBack asks replicas by turns, of which the first
// ones do not answer.
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
