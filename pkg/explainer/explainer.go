// Package explainer reconstructs the course of one request from the logs of
// several nodes: the log lines about it, ordered by time, the state that each
// node had last logged at that moment and how old it was, and which log lines
// are missing.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// stateEvents are the log events that report a change of a node's own state or of
// what it knows of others. The value is the field that identifies what changed;
// no code reads it.
var stateEvents = map[string]string{
	"inforce": "version", "heard": "version", "target": "life", "target_gone": "", "target_state": "life",
	"target_cold": "life", "target_pace": "life", "drain": "", "drains": "centres", "start": "instance", "reload": "seeds",
}

// Line is one line of a node's log.
type Line struct {
	Node  string
	Time  time.Time
	Event string
	// Fields are the other fields in the order of the line, without the log
	// level.
	Fields []Field
}

// Field is a key with its value, which keeps its quotes.
type Field struct{ Key, Value string }

// Get returns the value of a field, or "" if the line doesn't have it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String returns the event and the fields that aren't empty.
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

// Parse reads one line of text; ok is false if it isn't a log line. The node is
// the last word before the time, where log collectors put it, or else the node
// given.
func Parse(text, node string) (line *Line, ok bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return nil, false
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		node = words[len(words)-1]
	}
	l := &Line{Node: node}
	for _, f := range splitFields(text[start:]) {
		switch f.Key {
		case "time":
			stamp, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return nil, false
			}
			l.Time = stamp
		case "level":
		case "msg":
			l.Event = f.Value
		default:
			l.Fields = append(l.Fields, f)
		}
	}
	// The loop drops the log level and with it the admission level of a hop,
	// whose key is also "level".
	return l, l.Event != ""
}

// splitFields reads key=value pairs. A value that starts with a quote ends at the
// next quote without a backslash before it.
func splitFields(text string) []Field {
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

// Explainer collects the log lines that explain one request. The zero value with
// an ID is ready to use.
type Explainer struct {
	// ID of the request.
	ID string

	// requestLines are the lines with this id, stateEvents the other lines whose
	// event is in stateEvents.
	requestLines []*Line
	stateEvents  []*Line
	// loggedNodes are the nodes of all lines read.
	loggedNodes map[string]bool
	lineCount   int
}

// Read reads a log. Lines that don't name their node belong to the node given.
func (e *Explainer) Read(r io.Reader, node string) error {
	if e.loggedNodes == nil {
		e.loggedNodes = map[string]bool{}
	}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := Parse(s.Text(), node)
		if !ok {
			continue
		}
		e.lineCount++
		e.loggedNodes[l.Node] = true
		if l.Get("id") == e.ID {
			e.requestLines = append(e.requestLines, l)
		} else if _, ok := stateEvents[l.Event]; ok {
			e.stateEvents = append(e.stateEvents, l)
		}
	}
	return s.Err()
}

// Write prints what the logs say about the request. It returns false if no line
// names the request.
func (e *Explainer) Write(w io.Writer) bool {
	sort.SliceStable(e.requestLines, func(i, j int) bool { return e.requestLines[i].Time.Before(e.requestLines[j].Time) })
	sort.SliceStable(e.stateEvents, func(i, j int) bool { return e.stateEvents[i].Time.Before(e.stateEvents[j].Time) })
	if len(e.requestLines) == 0 {
		fmt.Fprintf(w, "no line of %d names request %s\n", e.lineCount, e.ID)
		return false
	}
	for _, l := range e.requestLines {
		fmt.Fprintf(w, "%s %s %s\n", l.Time.Format("15:04:05.000"), l.Node, l)
		for _, s := range e.nodeState(l) {
			fmt.Fprintf(w, "    since %v: %s\n", l.Time.Sub(s.Time).Round(time.Millisecond), s)
		}
	}
	for _, text := range e.missing() {
		fmt.Fprintln(w, "missing: "+text)
	}
	return true
}

// nodeState returns, for each kind of state event, the last line that the node of l
// logged up to the time of l.
func (e *Explainer) nodeState(l *Line) []*Line {
	newest := map[string]*Line{}
	for _, s := range e.stateEvents {
		if s.Node == l.Node && !s.Time.After(l.Time) {
			newest[s.Event] = s
		}
	}
	var list []*Line
	for _, s := range newest {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list
}

// missing describes the lines about the request that the logs should contain but
// don't.
func (e *Explainer) missing() []string {
	var texts []string
	hopNodes := map[string]bool{}
	entryFound := false
	for _, l := range e.requestLines {
		switch l.Event {
		case "hop":
			hopNodes[l.Node] = true
		case "request", "refuse":
			entryFound = true
		}
	}
	if !entryFound {
		texts = append(texts, "the line of the entry node; its log was not given, it ended before the request did, or it dropped lines (log_dropped)")
	}
	for _, l := range e.requestLines {
		target := l.Get("at")
		if target == "" || hopNodes[target] {
			continue
		}
		if !e.loggedNodes[target] {
			texts = append(texts, "the log of "+target+", where the request was sent")
		} else {
			texts = append(texts, "a line of "+target+", where the request was sent: it never arrived, or that node ended first")
		}
	}
	return texts
}
