// Package explainer tells the story of one request from the logs of several
// nodes: what each of them decided, in order, what it believed at that moment
// and how old that was, and which lines are missing.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// beliefs are the events that change what a node believes, with the field that
// says what about.
var beliefs = map[string]string{
	"inforce": "version", "heard": "version", "target": "life", "target_gone": "", "drain": "", "start": "instance", "reload": "seeds",
}

// Line is one line of a log.
type Line struct {
	Node  string
	At    time.Time
	Event string
	// Fields in the order of the line.
	Fields []Field
}

// Field is a key with its value.
type Field struct{ Key, Value string }

// Get returns the value of a field, or nothing.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String writes the line without its time.
func (l *Line) String() string {
	var b strings.Builder
	b.WriteString(l.Event)
	for _, f := range l.Fields {
		if f.Value == "" || f.Value == `""` {
			continue
		}
		b.WriteString(" " + f.Key + "=" + f.Value)
	}
	return b.String()
}

// Parse reads one line; ok is false for what is no line of a log. A word
// before the line names the node, as collectors of logs put it there.
func Parse(text, node string) (line *Line, ok bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return nil, false
	}
	if before := strings.Fields(text[:at]); len(before) > 0 {
		node = before[len(before)-1]
	}
	l := &Line{Node: node}
	for _, f := range split(text[at:]) {
		switch f.Key {
		case "time":
			when, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return nil, false
			}
			l.At = when
		case "level":
		case "msg":
			l.Event = f.Value
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	// The priority level of a hop has the name of the log's own level.
	return l, l.Event != ""
}

// split reads key=value pairs; values with spaces are quoted.
func split(text string) []Field {
	var fields []Field
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimSpace(text) {
		key, rest, found := strings.Cut(text, "=")
		if !found {
			return fields
		}
		end := strings.IndexByte(rest, ' ')
		if strings.HasPrefix(rest, `"`) {
			end = 1
			for end < len(rest) && (rest[end] != '"' || rest[end-1] == '\\') {
				end++
			}
			end++
		}
		if end < 0 || end > len(rest) {
			end = len(rest)
		}
		fields = append(fields, Field{Key: key, Value: rest[:end]})
		text = rest[end:]
	}
	return fields
}

// Explainer collects lines. The zero value works.
type Explainer struct {
	// ID of the request.
	ID string

	lines   []*Line
	beliefs []*Line
	nodes   map[string]bool
	read    int
}

// Read takes the log of a node.
func (e *Explainer) Read(r io.Reader, node string) error {
	if e.nodes == nil {
		e.nodes = map[string]bool{}
	}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := Parse(s.Text(), node)
		if !ok {
			continue
		}
		e.read++
		e.nodes[l.Node] = true
		if l.Get("id") == e.ID {
			e.lines = append(e.lines, l)
		} else if _, ok := beliefs[l.Event]; ok {
			e.beliefs = append(e.beliefs, l)
		}
	}
	return s.Err()
}

// Write prints the story and returns whether there is one.
func (e *Explainer) Write(w io.Writer) bool {
	sort.SliceStable(e.lines, func(i, j int) bool { return e.lines[i].At.Before(e.lines[j].At) })
	sort.SliceStable(e.beliefs, func(i, j int) bool { return e.beliefs[i].At.Before(e.beliefs[j].At) })
	if len(e.lines) == 0 {
		fmt.Fprintf(w, "no line of %d names request %s\n", e.read, e.ID)
		return false
	}
	for _, l := range e.lines {
		fmt.Fprintf(w, "%s %s %s\n", l.At.Format("15:04:05.000"), l.Node, l)
		for _, b := range e.known(l) {
			fmt.Fprintf(w, "    since %v: %s\n", l.At.Sub(b.At).Round(time.Millisecond), b)
		}
	}
	for _, text := range e.missing() {
		fmt.Fprintln(w, "missing: "+text)
	}
	return true
}

// known returns the newest belief of each kind that a node had at a line.
func (e *Explainer) known(l *Line) []*Line {
	newest := map[string]*Line{}
	for _, b := range e.beliefs {
		if b.Node == l.Node && !b.At.After(l.At) {
			newest[b.Event] = b
		}
	}
	var list []*Line
	for _, b := range newest {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	return list
}

// missing names the lines that the story should have.
func (e *Explainer) missing() []string {
	var texts []string
	hops := map[string]bool{}
	entry := false
	for _, l := range e.lines {
		switch l.Event {
		case "hop":
			hops[l.Node] = true
		case "request", "refuse":
			entry = true
		}
	}
	if !entry {
		texts = append(texts, "the line of the entry node; its log was not given, it ended before the request did, or it dropped lines (log_dropped)")
	}
	for _, l := range e.lines {
		at := l.Get("at")
		if at == "" || hops[at] {
			continue
		}
		if !e.nodes[at] {
			texts = append(texts, "the log of "+at+", where the request was sent")
		} else {
			texts = append(texts, "a line of "+at+", where the request was sent: it never arrived, or that node ended first")
		}
	}
	return texts
}
