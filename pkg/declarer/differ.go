package declarer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
)

// Diff describes the changes of data centres, teams and routes from old to next
// for an operator, one per line. A line begins with + for an addition, - for a
// removal and ~ for a change. Changes of Services and Limits are not shown.
func Diff(old, next *Declaration) []string {
	var lines []string
	lines = append(lines, diffCentres(old, next)...)
	lines = append(lines, diffTeams(old, next)...)
	return append(lines, diffRoutes(old, next)...)
}

// planIDBytes is how many bytes of the hash make a plan's id.
const planIDBytes = 8

// PlanID returns a plan's id, which depends only on the base version and the
// declaration. It is hexadecimal, so it never begins with a dash, which the
// command line would take for a flag.
func PlanID(base uint64, canonical []byte) string {
	h := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], base)
	h.Write(number[:])
	h.Write(canonical)
	return hex.EncodeToString(h.Sum(nil)[:planIDBytes])
}

func diffCentres(old, next *Declaration) []string {
	return diffMaps("centre", old.Centres, next.Centres)
}

// diffTeams describes changes of rates, bursts and keys, but not of priorities
// or of Free.
func diffTeams(old, next *Declaration) []string {
	var lines []string
	for _, name := range unionKeys(old.Teams, next.Teams) {
		before, had := old.Teams[name]
		after, has := next.Teams[name]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ team %s: rate %v/s, burst %v, %d keys", name, after.Rate, after.Burst, len(after.Keys)))
		case !has:
			lines = append(lines, fmt.Sprintf("- team %s: its %d keys stop working", name, len(before.Keys)))
		default:
			lines = append(lines, diffTeam(name, before, after)...)
		}
	}
	return lines
}

func diffTeam(name string, before, after Team) []string {
	var lines []string
	if before.Rate != after.Rate {
		lines = append(lines, fmt.Sprintf("~ team %s: rate %v/s -> %v/s", name, before.Rate, after.Rate))
	}
	if before.Burst != after.Burst {
		lines = append(lines, fmt.Sprintf("~ team %s: burst %v -> %v", name, before.Burst, after.Burst))
	}
	for _, k := range missing(after.Keys, before.Keys) {
		lines = append(lines, fmt.Sprintf("+ team %s: key %s", name, k))
	}
	for _, k := range missing(before.Keys, after.Keys) {
		lines = append(lines, fmt.Sprintf("- team %s: key %s stops working", name, k))
	}
	return lines
}

func diffRoutes(old, next *Declaration) []string {
	before, after := map[string]Route{}, map[string]Route{}
	for _, r := range old.Routes {
		before[r.Name] = r
	}
	for _, r := range next.Routes {
		after[r.Name] = r
	}
	return diffMaps("route", before, after)
}

// diffMaps compares entries by their JSON.
func diffMaps[V any](kind string, before, after map[string]V) []string {
	var lines []string
	for _, name := range unionKeys(before, after) {
		oldValue, had := before[name]
		newValue, has := after[name]
		oldText, newText := encode(oldValue), encode(newValue)
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, name, newText))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s %s", kind, name))
		case oldText != newText:
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", kind, name, oldText, newText))
		}
	}
	return lines
}

func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// missing returns the elements of list that are not in other.
func missing(list, other []string) []string {
	known := map[string]bool{}
	for _, s := range other {
		known[s] = true
	}
	var result []string
	for _, s := range list {
		if !known[s] {
			result = append(result, s)
		}
	}
	return result
}

// unionKeys returns the keys of both maps, sorted and without duplicates.
func unionKeys[V any](a, b map[string]V) []string {
	var keys []string
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
