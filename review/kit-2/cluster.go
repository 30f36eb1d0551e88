package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Values of a small deployment, as its sheet states them.
const (
	heartbeatPeriod = 1200 * time.Millisecond
	contactTime     = 3 * time.Second
	configApply     = 2 * time.Second
	drainTime       = 2 * time.Second
)

// recorder writes what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }

// machine is a machine of the system under test, with a core and an entry process.
type machine struct {
	c           *cluster
	ip, zone    string
	folder      string
	core, entry *process
	started     bool
}

// process is a process of the system under test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// cluster is the system under test: three machines in three zones, as in a small deployment.
type cluster struct {
	rec      *recorder
	folder   string
	program  string
	subnet   string
	machines []*machine
	// ports of all machines: clients, readiness, control, directory, and the first internal one.
	front, ready, control, directory, internal int
	mu                                         sync.Mutex
	workers                                    []*worker
}

var zones = []string{"milano-a", "milano-b", "brescia"}

// newCluster starts the machines.
func newCluster(rec *recorder, program string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, folder: folder, program: program}
	c.subnet = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+int(time.Now().UnixNano()/1e6)%250)
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", c.subnet, 11+i)
		m := &machine{c: c, ip: ip, zone: zone, folder: filepath.Join(folder, ip)}
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return nil, err
		}
		c.machines = append(c.machines, m)
	}
	if err := c.choosePorts(); err != nil {
		return nil, err
	}
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// choosePorts finds a range of free ports, the same on all machines.
func (c *cluster) choosePorts() error {
	for first := 20000 + os.Getpid()%1000*10; first < 60000; first += 40 {
		if c.isFree(first, 24) {
			c.front, c.ready, c.control, c.directory, c.internal = first, first+1, first+2, first+3, first+8
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (c *cluster) isFree(first, count int) bool {
	for _, m := range c.machines {
		for port := first; port < first+count; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts both processes.
func (m *machine) start() error {
	var err error
	if m.core, err = m.startProcess("core"); err != nil {
		return err
	}
	m.entry, err = m.startProcess("entry")
	m.started = true
	return err
}

// startProcess writes the settings of a process and starts it by the command of the deploy file.
func (m *machine) startProcess(role string) (*process, error) {
	c := m.c
	var seeds []string
	zoneOf := map[string]string{}
	for _, s := range c.machines {
		seeds = append(seeds, s.address(c.control))
		zoneOf[s.zone] = "lombardia"
	}
	serves := map[string][]string{"core": {"control_plane"}, "entry": {"front", "directory"}}[role]
	settings := map[string]any{
		"node_name": "front-" + m.zone + "-1", "role": role, "machine_class": "front", "serves": serves,
		"ip": m.ip, "zone": m.zone, "region": "lombardia", "zones": zoneOf,
		"listen": map[string]string{
			"front": m.address(c.front), "readiness": m.address(c.ready), "control": m.address(c.control), "directory": m.address(c.directory),
		},
		"internal_port_range": []int{c.internal, c.internal + 15}, "seed_nodes": seeds, "bootstrap": !m.started, "fault_counted": true,
		"limits":   map[string]any{"cpu_share": 0.72, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"data_dir": filepath.Join(m.folder, "data"), "discovery": "self_register", "entry": "directory", "heartbeat_ms": heartbeatPeriod.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "stages"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_slack": 58, "recover_s": 12, "pass_ms": 120, "retry_after_s": 10, "ttl_max_s": 5,
		},
		"config_mode": "highest",
	}
	if role == "entry" {
		delete(settings, "data_dir")
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(m.folder, role+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(c.program, role), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "PLANTAINLANE_NODE_FILE="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A process that is left behind by a killed case ends with it: the main thread starts all of them.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.rec.log("system     %s of %s (%s) starts, process %d", role, m.ip, m.zone, p.cmd.Process.Pid)
	return p, nil
}

// close ends all processes and stand-ins that the case started. The logs stay if KEEP is set.
func (c *cluster) close() {
	for _, w := range c.workers {
		w.end()
	}
	for _, m := range c.machines {
		for _, p := range []*process{m.core, m.entry} {
			if p != nil {
				_ = p.cmd.Process.Kill()
				<-p.exited
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept:", c.folder)
	}
}

// call makes a call to a machine's control address and returns the status, 0 for none, and the body.
func (c *cluster) call(m *machine, method, path string, body any, timeout time.Duration) (int, []byte) {
	var in io.Reader
	if body != nil {
		text, ok := body.([]byte)
		if !ok {
			text, _ = json.Marshal(body)
		}
		in = bytes.NewReader(text)
	}
	r, err := http.NewRequest(method, "http://"+m.address(c.control)+path, in)
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, text
}

// replace sends a configuration, as the operator does: to one machine after another until one answers clearly.
func (c *cluster) replace(version int, text []byte, limit time.Duration) (status int, body string) {
	until := time.Now().Add(limit)
	for i := 0; time.Now().Before(until); i++ {
		m := c.machines[i%len(c.machines)]
		status, answer := c.call(m, http.MethodPost, "/plantainlane/Config.Replace", text, 2*time.Second)
		c.rec.log("operator   sends configuration %d to %s, answer %d %s", version, m.ip, status, answer)
		if status == 200 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status, string(answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, ""
}

// config describes a configuration.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

const (
	host = "jepu9.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

func newConfig(version int) *config {
	return &config{
		Version: version,
		Limits:  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []map[string]any{{"name": "bozi300", "api_keys": []string{key}, "priority": 1}},
	}
}

func (c *config) text() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// addModel adds a service of model workers.
func (c *config) addModel(name string) {
	c.Services = append(c.Services, map[string]any{
		"name": name, "health_path": "/health", "max_conns": 280, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 499262, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
		},
	})
}

// addPlain adds a service of plain workers.
func (c *config) addPlain(name string) {
	c.Services = append(c.Services, map[string]any{"name": name, "health_path": "/health", "max_conns": 52, "protocol": "h1", "tls": false})
}

// addPieces adds a service that makes pieces.
func (c *config) addPieces(name string) {
	c.Services = append(c.Services, map[string]any{
		"name": name, "health_path": "/health", "max_conns": 280, "protocol": "h1", "tls": false,
		"pieces": map[string]any{
			"slots": 1, "queue": 2, "batch": 12, "call_ms": 240.0, "item_ms": 17.0, "headroom_mb": 14.0, "handle_s": 4.0, "link_mbps": 10000,
		},
	})
}

// addRoute adds a route; more holds further fields.
func (c *config) addRoute(prefix, kind string, timeoutMs int, more map[string]any) {
	route := map[string]any{
		"name": "r-" + fmt.Sprint(len(c.Routes)), "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "target_latency_ms": 2000,
		"priority": 0, "max_attempts": 1, "public": false, "session_affinity": false, "stream_resume": false, "gap_aim_ms": 400,
	}
	for k, v := range more {
		route[k] = v
	}
	c.Routes = append(c.Routes, route)
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	whole  bool
}

// send sends one client attempt to a machine and reads the whole answer.
func (c *cluster) send(m *machine, method, path, id, body string, deadline time.Duration, headers ...string) answer {
	r, err := http.NewRequest(method, "http://"+m.address(c.front)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	c.rec.log("client     sends %s %s, request %s, to %s", method, path, id, m.ip)
	res, err := client.Do(r)
	if err != nil {
		c.rec.log("client     has no answer to %s: %v", id, err)
		return answer{}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	a := answer{res.StatusCode, res.Header.Get("Response-Seal"), string(text), err == nil}
	c.rec.log("client     has answer %d to %s, signature %q, %d bytes, whole %v", a.status, id, a.seal, len(text), a.whole)
	return a
}
