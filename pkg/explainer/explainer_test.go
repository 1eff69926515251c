package explainer_test

import (
	"os"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/explainer"
)

func ExampleExplainer() {
	entry := `time=2026-05-02T12:54:40.000Z level=INFO msg=inforce version=7 revision=21
time=2026-05-02T12:54:41.500Z level=INFO msg=request id=r1 route=book sends=1 at=b outcome=unknown status=502 reason=lost text="the connection broke"
time=2026-05-02T12:54:41.600Z level=INFO msg=request id=r2 route=book outcome=answered status=200`
	target := `time=2026-05-02T12:54:41.490Z level=INFO msg=hop id=r1 queued=0 outcome=unknown reason=lost error="read: connection reset"`
	e := &explainer.Explainer{ID: "r1"}
	_ = e.Read(strings.NewReader(entry), "a")
	_ = e.Read(strings.NewReader(target), "b")
	e.Write(os.Stdout)
	// Output:
	// 12:54:41.490 b hop id=r1 queued=0 outcome=unknown reason=lost error="read: connection reset"
	// 12:54:41.500 a request id=r1 route=book sends=1 at=b outcome=unknown status=502 reason=lost text="the connection broke"
	//     since 1.5s: inforce version=7 revision=21
}

func ExampleExplainer_missing() {
	e := &explainer.Explainer{ID: "r1"}
	_ = e.Read(strings.NewReader(`time=2026-05-02T12:54:41.500Z level=INFO msg=request id=r1 at=b outcome=unknown reason=lost`), "a")
	e.Write(os.Stdout)
	// Output:
	// 12:54:41.500 a request id=r1 at=b outcome=unknown reason=lost
	// missing: the log of b, where the request was sent
}

// A refusal because of a cold target is shown with the line that says since when and why
// it was cold.
func ExampleExplainer_cold() {
	target := `time=2026-05-02T12:54:40.000Z level=INFO msg=target_cold life=i-1/10 cold=true why=report rate=5.4 allowed=16
time=2026-05-02T12:54:41.500Z level=INFO msg=hop id=r1 outcome=notrun reason=limit text="the target is cold (report), come back in 90ms"`
	e := &explainer.Explainer{ID: "r1"}
	_ = e.Read(strings.NewReader(target), "b")
	e.Write(os.Stdout)
	// Output:
	// 12:54:41.500 b hop id=r1 outcome=notrun reason=limit text="the target is cold (report), come back in 90ms"
	//     since 1.5s: target_cold life=i-1/10 cold=true why=report rate=5.4 allowed=16
	// missing: the line of the entry node; its log was not given, it ended before the request did, or it dropped lines (log_dropped)
}
