// Command standin plays one case of the review on loopback: it is the platform, the
// servers, the clients and the operator of a small deployment, and starts the
// project's own programs as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// result says whether the rule was broken.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(*platform, bool) (result, error){
	"stop": playStop, "deregister": playDeregister, "queue": playQueue, "crash": playCrash, "forged": playForged, "oldcall": playOldCall,
}

func main() {
	name := flag.String("case", "", "case to play")
	root := flag.String("root", ".", "the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	flag.Parse()
	os.Exit(play(*name, *root, *path, *keep))
}

func play(name, root, path string, keep bool) int {
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p, err := newPlatform(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer p.end(keep)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		p.end(keep)
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := playCase(p, trouble)
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	record.printf("result: broken %t: %s", r.broken, r.text)
	fmt.Printf("trouble %t, broken %t: %s\n", trouble, r.broken, r.text)
	if r.broken {
		return exitBroken
	}
	return exitHeld
}

// manifest makes a manifest of the small deployment. Routes are given as name, kind,
// service and timeout; the path prefix of a route is /NAME/.
func manifest(version uint64, services []string, routes ...[4]string) map[string]any {
	m := map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": map[string]any{"small": map[string]any{names.Keys: []string{"smallkeysmallkey1234"}, "priority": 1}},
	}
	declared := map[string]any{}
	for _, s := range services {
		declared[s] = map[string]any{"health_path": "/health", "max_connections": 688, "protocol": "h1", "tls": false}
	}
	table := map[string]any{}
	for _, r := range routes {
		table["r-"+r[0]] = map[string]any{
			"hostname": "small.example", names.Prefix: "/" + r[0] + "/", "kind": r[1], "service": r[2], "timeout": r[3],
			names.Objective: "1500ms", "priority": 1, "max_attempts": 2, "public": false,
		}
	}
	m["services"], m["routes"] = declared, table
	return m
}
