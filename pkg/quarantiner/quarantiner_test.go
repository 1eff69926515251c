package quarantiner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/quarantiner"
)

// TestMergeDependsOnOrder lets two nodes hear of two crashes and of an answer
// in between in different orders. Both must come to the same decision.
func TestMergeDependsOnOrder(t *testing.T) {
	request := []byte("0123456789abcdef")
	var a, b, x, y quarantiner.Quarantiner
	first := a.Crash("a", [][]byte{request})
	second := b.Crash("b", [][]byte{request})
	x.Merge(first)
	cleared := x.Clear(request)
	x.Merge(second)
	y.Merge(first)
	y.Merge(second)
	y.Merge(cleared)
	x.Merge(y.All())
	y.Merge(x.All())
	qt.Assert(t, x.Barred(request), qt.Equals, y.Barred(request))
}
