package quarantiner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
)

// TestMergeDependsOnOrder lets two nodes hear of two crashes and of an answer
// in between in different orders. Both must come to the same decision.
func TestMergeDependsOnOrder(t *testing.T) {
	request := []byte("0123456789abcdef")
	a, b, x, y := newNode(), newNode(), newNode(), newNode()
	first, _ := a.Crash(1, [][]byte{request})
	second, _ := b.Crash(2, [][]byte{request})
	x.MergeCrashes(first)
	cleared := x.Succeed(request)
	x.MergeCrashes(second)
	y.MergeCrashes(first)
	y.MergeCrashes(second)
	y.Merge(cleared)
	x.Merge(y.All())
	y.Merge(x.All())
	qt.Assert(t, x.Barred(request), qt.Equals, y.Barred(request))
}

func newNode() *quarantiner.Quarantiner { return quarantiner.New(&timekeeper.Manual{}, nil) }
