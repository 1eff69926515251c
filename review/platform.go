package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in the users' site file ptcrc-mesh.
const (
	boundDrain           = 2 * time.Second
	boundGrace           = 6 * time.Second
	boundStabilityWindow = 3 * time.Second
	heartbeatInterval    = 1500 * time.Millisecond
	// metricsPort is the port of the metrics in the deploy file.
	metricsPort = ":9464"
	// restartDelay is the pause before a process that has ended starts again.
	restartDelay = 300 * time.Millisecond
)

// recorder writes what was sent, answered and run, one line each.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// machine is one machine with one process of the system.
type machine struct {
	platform  *platform
	name      string
	zone      string
	ip        string
	role      string
	service   string
	bootstrap bool
	folder    string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// platform is a stand-in for the platform: it renders the settings, starts, signals
// and restarts processes.
type platform struct {
	record *recorder
	folder string
	root   string
	// network is the first three bytes of the machines' addresses.
	network  string
	machines []*machine
	seeds    []string
	ports    map[string]int
}

// newPlatform makes a platform in a temporary folder. root is the repository.
func newPlatform(root string, record *recorder) (*platform, error) {
	folder, err := os.MkdirTemp("", "primrosewall-review")
	if err != nil {
		return nil, err
	}
	p := &platform{record: record, folder: folder, root: root, network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))}
	base := 20000 + 100*rand.IntN(90)
	p.ports = map[string]int{"outbound": base, "inbound": base + 1, "ready": base + 2, "control": base + 3, "app": base + 4, "internal": base + 5}
	return p, nil
}

func (p *platform) address(ip, port string) string { return fmt.Sprintf("%s:%d", ip, p.ports[port]) }

// add adds a machine; service is empty for a core machine.
func (p *platform) add(name, zone, service string) *machine {
	m := &machine{platform: p, name: name, zone: zone, service: service, role: "node", bootstrap: true}
	m.ip = fmt.Sprintf("%s.%d", p.network, 10+len(p.machines))
	if service == "" {
		m.role = "replica"
		p.seeds = append(p.seeds, p.address(m.ip, "control"))
	}
	m.folder = filepath.Join(p.folder, name)
	p.machines = append(p.machines, m)
	return m
}

func (m *machine) at(port string) string { return m.platform.address(m.ip, port) }

// fields are the settings that the deploy file's templates use.
func (m *machine) fields() map[string]any {
	p := m.platform
	return map[string]any{
		"node_id": m.name, "zone": m.zone, "ip": m.ip, "service": m.service, "bootstrap": m.bootstrap,
		"listen.outbound": m.at("outbound"), "listen.inbound": m.at("inbound"), "listen.ready": m.at("ready"), "listen.control": m.at("control"),
		names.Ports + ".0": p.ports["internal"], names.Ports + ".1": p.ports["internal"] + 15,
		"seeds": p.seeds[:min(3, len(p.seeds))], names.Target: m.at("app"), "limits.memory_mb": 284, "data_dir": filepath.Join(m.folder, "data"),
		"fault_tolerance.machines": 1,
		"bounds.grace":             boundGrace, "bounds.drain": boundDrain, "bounds.retry_budget_ratio": 0.2, "bounds.budget_window": "10s", "bounds.budget_slack": 47,
		"bounds.quota_window": "5s", "bounds.quota_overage": 0.1, "bounds.quota_slack": 20,
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template of the deploy file.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		entries, _ := fields[parts[1]].([]string)
		var out strings.Builder
		for i, entry := range entries {
			comma := ","
			if i == len(entries)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(parts[2]))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(template, func(value string) string {
		return fmt.Sprint(fields[valuePattern.FindStringSubmatch(value)[1]])
	})
}

// start writes the settings and starts the process with the command of the deploy
// file.
func (m *machine) start() error {
	p := m.platform
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(p.root, "deploy", m.role+".json"))
	if err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "settings")
	if err := os.WriteFile(settings, []byte(render(string(template), m.fields())), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(p.root, "target", "primrosed"))
	c.Dir = p.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "PRIMROSEWALL_CONFIG=" + settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	p.record.printf("platform: %s starts", m.name)
	go m.await(c, ended)
	return nil
}

func (m *machine) await(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	m.platform.record.printf("platform: %s has ended: %v%s", m.name, err, m.lastLine())
	close(ended)
}

// lastLine returns the last line of the process's log.
func (m *machine) lastLine() string {
	text, err := os.ReadFile(filepath.Join(m.folder, "log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if err != nil || len(lines) == 0 {
		return ""
	}
	return "; last log line: " + strings.ReplaceAll(lines[len(lines)-1], m.platform.folder, "FOLDER")
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.platform.record.printf("platform: %s gets %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

// kill sends SIGKILL and starts the process again after restartDelay.
func (m *machine) killAndRestart() error {
	m.signal(syscall.SIGKILL)
	<-m.ended
	time.Sleep(restartDelay)
	m.bootstrap = false
	return m.start()
}

// stopAndRestart sends SIGTERM, SIGKILL after grace, and starts the process again.
func (m *machine) stopAndRestart() error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(boundGrace):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	time.Sleep(restartDelay)
	m.bootstrap = false
	return m.start()
}

// ready asks the node as the platform does.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + m.at("ready") + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// end kills all processes and removes the temporary folder.
func (p *platform) end(keep bool) {
	for _, m := range p.machines {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
			m.mu.Unlock()
			<-m.ended
			m.mu.Lock()
		}
		m.mu.Unlock()
	}
	if keep {
		fmt.Println("kept", p.folder)
		return
	}
	os.RemoveAll(p.folder)
}

// free reports whether the addresses of all machines are free.
func (p *platform) free() bool {
	for _, m := range p.machines {
		// The stand-in servers listen at their ports already.
		for _, address := range []string{m.at("outbound"), m.at("ready"), m.at("control"), m.at("internal"), m.ip + metricsPort} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// startAll starts all machines and waits until the manifest is accepted and all
// nodes are ready.
func (p *platform) startAll(manifest map[string]any) error {
	if !p.free() {
		return fmt.Errorf("an address is in use")
	}
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := p.put(manifest, 0); err != nil {
		return err
	}
	return p.awaitReady()
}

func (p *platform) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range p.machines {
			all = all && (m.role == "replica" || m.ready())
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready")
}

// put sends a manifest to the core machines in turn until one acknowledges it.
func (p *platform) put(manifest map[string]any, base uint64) error {
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 2 * time.Second}
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range p.machines {
			if m.role != "replica" {
				continue
			}
			r, err := http.NewRequest(http.MethodPost, "http://"+m.at("control")+names.Put, bytes.NewReader(body))
			if err != nil {
				return err
			}
			r.Header.Set(names.Base, fmt.Sprintf("%08x", base))
			r.Header.Set("Content-Type", "application/json")
			response, err := client.Do(r)
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				p.record.printf("operator: manifest %v is acknowledged by %s", manifest["version"], m.name)
				return nil
			}
			last = fmt.Sprint(response.StatusCode, " ", string(text))
		}
	}
	return fmt.Errorf("the manifest is not acknowledged: %s", last)
}
