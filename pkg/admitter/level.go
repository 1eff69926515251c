package admitter

import "time"

const (
	// window is how often the level moves, or a part of the service time where
	// that is more: what a step changes shows only after that.
	window     = 50 * time.Millisecond
	windowPart = 2
	// raiseShare is the share of arrivals that one step up refuses more.
	raiseShare = 0.05
	// lowerShare is the share that one step down admits more.
	lowerShare = 0.03
	// queueTarget is the shortest wait within a window that counts as overload,
	// or a part of the service time where that is more.
	queueTarget = 5 * time.Millisecond
	queuePart   = 4
)

// level is the priority below which requests are to be refused at the door.
// It rises while even the luckiest request of a window had to wait, and sinks
// otherwise. The step follows the priorities that arrived lately.
type level struct {
	value   Priority
	started time.Time
	// counts of arrivals by priority, halved in each window.
	counts [MaxPriority]float32
	total  float32
	// known tells which classes have ever arrived; the others are skipped.
	known [classCount]bool
	// least wait seen in this window, and whether anything was seen.
	least time.Duration
	seen  bool
	// refused tells that the window saw a refusal for lack of room.
	refused bool
}

func (l *level) arrive(p Priority) {
	l.known[p.class()] = true
	l.counts[p]++
	l.total++
}

func (l *level) waited(d time.Duration) {
	if !l.seen || d < l.least {
		l.least = d
	}
	l.seen = true
}

// step moves the level when a window is over.
func (l *level) step(now time.Time, service time.Duration) {
	if l.started.IsZero() {
		l.started = now
	}
	if now.Sub(l.started) < max(window, service/windowPart) {
		return
	}
	switch {
	case l.seen && l.least > max(queueTarget, service/queuePart), l.refused:
		l.raise()
	default:
		l.lower()
	}
	l.started, l.seen, l.refused = now, false, false
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

func (l *level) raise() {
	want := l.total * raiseShare
	for l.value < MaxPriority-1 && want > 0 {
		want -= l.counts[l.value]
		l.value++
	}
}

// lower also crosses priorities that did not arrive because the door already
// refuses them; they count as the share of one priority among all.
func (l *level) lower() {
	want := max(l.total*lowerShare, 1)
	unseen := max(l.total, 1) / float32(1<<hashBits)
	for l.value > 0 && want > 0 {
		l.value--
		if !l.known[l.value.class()] {
			continue
		}
		want -= max(l.counts[l.value], unseen)
	}
}
