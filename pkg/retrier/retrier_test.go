package retrier_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/retrier"
)

// chain sends a request down a chain in which every hop fails, and every hop
// calls the next one twice, and returns the number of retries in all.
func chain(b *retrier.Budget, depth int) int {
	retries := 0
	for call := range 2 {
		for {
			part := b.Delegate()
			if depth > 1 {
				below := retrier.NewBudget(part)
				retries += chain(below, depth-1)
				part = below.Close()
			}
			if call == 0 && depth%2 == 0 {
				// The answer is lost, and with it what was left.
				part = 0
			}
			b.Return(part)
			if !b.Take() {
				break
			}
			retries++
		}
	}
	return retries
}

// TestRetriesNeverPassTheCount checks the promise for chains up to 22 deep.
func TestRetriesNeverPassTheCount(t *testing.T) {
	for count := range uint32(11) {
		for _, depth := range []int{1, 2, 5, 10} {
			got := chain(retrier.NewBudget(count), depth)
			qt.Assert(t, got <= int(count), qt.IsTrue, qt.Commentf("%d retries, count %d, depth %d", got, count, depth))
		}
	}
}

func TestRetriesStopBeforeFirstTries(t *testing.T) {
	var e retrier.ServiceBudgets
	sent := 0
	for range 1000 {
		e.RecordFirstAttempt("tracker", retrier.DefaultBounds())
		if e.AllowRetry("tracker") {
			sent++
		}
	}
	qt.Assert(t, sent <= 100+10, qt.IsTrue, qt.Commentf("%d", sent))
}

func ExampleBudget() {
	b := retrier.NewBudget(3)
	part := b.Delegate()
	fmt.Println("handed down", part)
	b.Return(1)
	fmt.Println("retry", b.Take(), b.Take(), b.Take())
	// Output:
	// handed down 2
	// retry true true false
}
