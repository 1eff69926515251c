package retrier_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/retrier"
)

// runChain simulates a call chain in which every attempt fails and every service
// makes two calls to the next one. It returns the total number of retries.
func runChain(b *retrier.Budget, depth int) int {
	retries := 0
	for call := range 2 {
		for {
			unused := b.Delegate()
			if depth > 1 {
				downstream := retrier.NewBudget(unused)
				retries += runChain(downstream, depth-1)
				unused = downstream.Close()
			}
			if call == 0 && depth%2 == 0 {
				// The answer is lost, and with it the unused retries.
				unused = 0
			}
			b.Return(unused)
			if !b.Take() {
				break
			}
			retries++
		}
	}
	return retries
}

// TestRetriesNeverExceedBudget checks that the retries of a whole chain stay
// within the root request's budget, for chains of up to 10 services.
func TestRetriesNeverExceedBudget(t *testing.T) {
	for budget := range uint32(11) {
		for _, depth := range []int{1, 2, 5, 10} {
			got := runChain(retrier.NewBudget(budget), depth)
			qt.Assert(t, got <= int(budget), qt.IsTrue, qt.Commentf("%d retries, budget %d, depth %d", got, budget, depth))
		}
	}
}

// TestServiceBudgetBoundsRetries checks that 1000 failing calls cause at most
// 100 retries (the default ratio) plus the default reserve of 10.
func TestServiceBudgetBoundsRetries(t *testing.T) {
	var budgets retrier.ServiceBudgets
	sent := 0
	for range 1000 {
		budgets.RecordFirstAttempt("tracker", retrier.DefaultBounds())
		if budgets.AllowRetry("tracker") {
			sent++
		}
	}
	qt.Assert(t, sent <= 100+10, qt.IsTrue, qt.Commentf("%d", sent))
}

func ExampleBudget() {
	b := retrier.NewBudget(3)
	delegated := b.Delegate()
	fmt.Println("delegated downstream", delegated)
	b.Return(1)
	fmt.Println("retry", b.Take(), b.Take(), b.Take())
	// Output:
	// delegated downstream 2
	// retry true true false
}
