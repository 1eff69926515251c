package test

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMeasureFleet logs, for fleets of real processes, the latency of confirmations,
// the time until a version is in force everywhere, gossip traffic, processor time
// and memory. It checks no bounds and runs only on request:
// PRIMROSE_MEASURE=3,12,48 go test ./test -run MeasureFleet -v
func TestMeasureFleet(t *testing.T) {
	sizes := os.Getenv("PRIMROSE_MEASURE")
	if sizes == "" {
		t.Skip("set PRIMROSE_MEASURE to a comma-separated list of fleet sizes")
	}
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		t.Run(text, func(t *testing.T) { measureFleet(t, size) })
	}
}

func measureFleet(t *testing.T, size int) {
	const changes, idlePeriod = 10, 10 * time.Second
	f := newFleet(t)
	for i := range size {
		f.add(fmt.Sprintf("n%02d", i), fmt.Sprint("centre", i%3), i < 3)
	}
	f.start()
	n := f.nodes["n00"]
	for _, other := range f.nodes {
		f.waitUntil("every node knows all members", func() bool { return other.metric("members") == float64(size) && other.metric("version") == 1 })
	}
	time.Sleep(2 * time.Second)
	bytes, cpu := f.sumMetric("gossip_bytes_out"), f.cpuSeconds()
	time.Sleep(idlePeriod)
	nodeSeconds := float64(size) * idlePeriod.Seconds()
	t.Logf("size=%d rest gossip_bytes_per_node_s=%.0f core_percent=%.3f rss_mb=%.1f", size,
		(f.sumMetric("gossip_bytes_out")-bytes)/nodeSeconds, 100*(f.cpuSeconds()-cpu)/nodeSeconds, f.residentMemory()/float64(size))
	var confirmTimes, spreadTimes []time.Duration
	for i := range changes {
		id := n.plan(declarationWithRate(i + 1))
		began := time.Now()
		_, code := n.primrose("confirm", id)
		f.Assert(code, qt.Equals, 0)
		confirmTimes = append(confirmTimes, time.Since(began))
		f.waitForVersion(n)
		spreadTimes = append(spreadTimes, time.Since(began))
	}
	sort.Slice(confirmTimes, func(i, j int) bool { return confirmTimes[i] < confirmTimes[j] })
	sort.Slice(spreadTimes, func(i, j int) bool { return spreadTimes[i] < spreadTimes[j] })
	t.Logf("size=%d confirm_ms median=%d worst=%d everywhere_ms median=%d worst=%d", size,
		confirmTimes[changes/2].Milliseconds(), confirmTimes[changes-1].Milliseconds(), spreadTimes[changes/2].Milliseconds(), spreadTimes[changes-1].Milliseconds())
}

// sumMetric returns the sum of a metric over all nodes.
func (f *fleet) sumMetric(metric string) float64 {
	sum := 0.0
	for _, n := range f.nodes {
		sum += n.metric(metric)
	}
	return sum
}

// cpuSeconds returns the processor time that all daemons have used, in seconds.
func (f *fleet) cpuSeconds() float64 {
	const clockTicksPerSecond = 100
	sum := 0.0
	for _, n := range f.nodes {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.daemon.Process.Pid))
		f.Assert(err, qt.IsNil)
		words := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		for _, word := range words[11:13] {
			v, err := strconv.ParseFloat(word, 64)
			f.Assert(err, qt.IsNil)
			sum += v / clockTicksPerSecond
		}
	}
	return sum
}

// residentMemory returns the resident memory of all daemons in MB.
func (f *fleet) residentMemory() float64 {
	sum := 0.0
	for _, n := range f.nodes {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.daemon.Process.Pid))
		f.Assert(err, qt.IsNil)
		pages, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
		f.Assert(err, qt.IsNil)
		sum += pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return sum
}
