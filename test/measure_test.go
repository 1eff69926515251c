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

// TestMeasureFleet measures confirm latency, the spread of versions, bytes,
// processor time and memory of real processes. It judges nothing, and runs
// only by hand: PRIMROSE_MEASURE=3,12,48 go test ./test -run MeasureFleet -v
func TestMeasureFleet(t *testing.T) {
	sizes := os.Getenv("PRIMROSE_MEASURE")
	if sizes == "" {
		t.Skip("set PRIMROSE_MEASURE to a list of sizes")
	}
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		t.Run(text, func(t *testing.T) { measureFleet(t, size) })
	}
}

func measureFleet(t *testing.T, size int) {
	const changes, rest = 10, 10 * time.Second
	f := newFleet(t)
	for i := range size {
		f.add(fmt.Sprintf("n%02d", i), fmt.Sprint("centre", i%3), i < 3)
	}
	f.start()
	n := f.nodes["n00"]
	for _, other := range f.nodes {
		f.until("every node knows all", func() bool { return other.metric("members") == float64(size) && other.metric("version") == 1 })
	}
	time.Sleep(2 * time.Second)
	bytes, cpu := f.total("gossip_bytes_out"), f.processor()
	time.Sleep(rest)
	per := float64(size) * rest.Seconds()
	t.Logf("size=%d rest gossip_bytes_per_node_s=%.0f core_percent=%.3f rss_mb=%.1f", size,
		(f.total("gossip_bytes_out")-bytes)/per, 100*(f.processor()-cpu)/per, f.memory()/float64(size))
	var confirm, spread []time.Duration
	for i := range changes {
		id := n.plan(withRate(i + 1))
		began := time.Now()
		_, code := n.primrose("confirm", id)
		f.Assert(code, qt.Equals, 0)
		confirm = append(confirm, time.Since(began))
		f.settle(n)
		spread = append(spread, time.Since(began))
	}
	sort.Slice(confirm, func(i, j int) bool { return confirm[i] < confirm[j] })
	sort.Slice(spread, func(i, j int) bool { return spread[i] < spread[j] })
	t.Logf("size=%d confirm_ms median=%d worst=%d everywhere_ms median=%d worst=%d", size,
		confirm[changes/2].Milliseconds(), confirm[changes-1].Milliseconds(), spread[changes/2].Milliseconds(), spread[changes-1].Milliseconds())
}

func (f *fleet) total(metric string) float64 {
	sum := 0.0
	for _, n := range f.nodes {
		sum += n.metric(metric)
	}
	return sum
}

// processor is the processor time of all daemons, in seconds.
func (f *fleet) processor() float64 {
	const ticks = 100
	sum := 0.0
	for _, n := range f.nodes {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.daemon.Process.Pid))
		f.Assert(err, qt.IsNil)
		words := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		for _, word := range words[11:13] {
			v, err := strconv.ParseFloat(word, 64)
			f.Assert(err, qt.IsNil)
			sum += v / ticks
		}
	}
	return sum
}

// memory is the resident memory of all daemons, in MB.
func (f *fleet) memory() float64 {
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
