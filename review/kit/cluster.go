package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errSetup reports that a case couldn't run.
var errSetup = errors.New("the case could not run")

// Bounds of the deployment, as in its sheet.
const (
	heartbeatMs = 1200
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	graceBound  = 8 * time.Second
	memoryMB    = 284
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one process of the system.
type process struct {
	role   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// machine is a machine of the system with a core and an entry process.
type machine struct {
	c           *cluster
	ip, zone    string
	disk        bool
	started     bool
	mu          sync.Mutex
	core, entry *process
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	rec                                         *recorder
	root, folder, subnet                        string
	front, readiness, control, directory, inner int
	zones                                       []string
	machines                                    []*machine
	// seeds are the machines that the settings name; nil for those with a disk.
	seeds []*machine
}

// newCluster prepares one machine with a disk in each zone, and further machines without one.
func newCluster(rec *recorder, root string, zones []string, diskless int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, root: root, folder: folder, zones: zones}
	c.subnet = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+time.Now().UnixNano()/1000%250)
	if err := c.choosePorts(); err != nil {
		return nil, err
	}
	for i := range len(zones) + diskless {
		c.machines = append(c.machines, &machine{
			c: c, ip: fmt.Sprintf("%s.%d", c.subnet, i+1), zone: zones[i%len(zones)], disk: i < len(zones),
		})
	}
	return c, nil
}

// choosePorts chooses ports that are free at the first address.
func (c *cluster) choosePorts() error {
	for base := 20000 + os.Getpid()%5000; base < 60000; base += 97 {
		free := true
		for p := base; p < base+24 && free; p++ {
			l, err := net.Listen("tcp", c.subnet+".1:"+strconv.Itoa(p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			c.front, c.readiness, c.control, c.directory, c.inner = base, base+1, base+2, base+3, base+4
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errSetup)
}

func (m *machine) at(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// startProcess writes the settings of a process and starts it with the command of the deploy file.
func (m *machine) startProcess(role string) (*process, error) {
	c := m.c
	folder := filepath.Join(c.folder, m.ip)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return nil, err
	}
	var seeds []string
	for _, other := range c.seedMachines() {
		seeds = append(seeds, other.at(c.control))
	}
	zones := map[string]string{}
	for _, z := range c.zones {
		zones[z] = "region"
	}
	cpu := 0.4
	if m.disk {
		cpu = 0.72
	}
	n := map[string]any{
		"node_name": "front-" + m.ip, "role": role, "machine_class": "front", "ip": m.ip, "zone": m.zone, "region": "region",
		"zones": zones, "seed_nodes": seeds, "bootstrap": !m.started, "fault_counted": m.disk, "discovery": "self_register",
		"listen": map[string]string{
			"front": m.at(c.front), "readiness": m.at(c.readiness), "control": m.at(c.control), "directory": m.at(c.directory),
		},
		"internal_port_range": []int{c.inner, c.inner + 15}, "heartbeat_ms": heartbeatMs, "config_mode": "highest", "entry": "directory",
		"limits":          map[string]any{"cpu_share": cpu, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 64},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": false,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58, "recover_s": 12, "pass_ms": 120,
			"retry_after_s": 10, "ttl_max_s": 5,
		},
	}
	if role == "core" && m.disk {
		n["data_dir"] = filepath.Join(folder, "data")
	}
	text, _ := json.Marshal(n)
	settings := filepath.Join(folder, role+".json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(folder, role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{role: role, exited: make(chan struct{})}
	p.cmd = exec.Command("target/platform", role)
	p.cmd.Dir = c.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINLANE_NODE_FILE=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	c.rec.add("start %s of %s pid %d", role, m.ip, p.cmd.Process.Pid)
	return p, nil
}

// seedMachines returns the machines that the settings name as seeds.
func (c *cluster) seedMachines() []*machine {
	if c.seeds != nil {
		return c.seeds
	}
	var out []*machine
	for _, m := range c.machines {
		if m.disk && len(out) < 3 {
			out = append(out, m)
		}
	}
	return out
}

// start starts both processes of all machines and waits until all entries are ready under the given configuration.
func (c *cluster) start(config map[string]any) error {
	if err := c.startProcesses(); err != nil {
		return err
	}
	if err := c.replace(config); err != nil {
		return err
	}
	return c.waitReady(20 * time.Second)
}

// startProcesses starts both processes of all machines for the first time.
func (c *cluster) startProcesses() error {
	for _, m := range c.machines {
		for _, role := range []string{"core", "entry"} {
			p, err := m.startProcess(role)
			if err != nil {
				return fmt.Errorf("%w: %w", errSetup, err)
			}
			if role == "core" {
				m.core = p
			} else {
				m.entry = p
			}
		}
	}
	for _, m := range c.machines {
		m.started = true
	}
	return nil
}

// waitReady waits until all entries say that they are ready.
func (c *cluster) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range c.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errSetup, m.ip)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// ready asks an entry whether it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + m.at(m.c.readiness) + "/plantainlane/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// replace sends a configuration as the operator does, to one machine after the other, until it is acknowledged.
func (c *cluster) replace(config map[string]any) error {
	for i := range 60 {
		m := c.machines[i%len(c.machines)]
		status, _ := c.post(m, "/plantainlane/Config.Replace", config, 4*time.Second)
		c.rec.add("operator: version %v to %s: %d", config["version"], m.ip, status)
		switch {
		case status == http.StatusOK:
			return nil
		case status >= 400 && status < 500:
			return fmt.Errorf("%w: configuration refused with %d", errSetup, status)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: configuration not acknowledged", errSetup)
}

// post sends a call with a JSON body to the control address of a machine. The status is 0 if there is no answer.
func (c *cluster) post(m *machine, path string, body any, timeout time.Duration) (status int, answer string) {
	text, _ := json.Marshal(body)
	client := http.Client{Timeout: timeout}
	res, err := client.Post("http://"+m.at(c.control)+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(b)
}

// close kills all processes that were started and removes the folder.
func (c *cluster) close() {
	for _, m := range c.machines {
		m.mu.Lock()
		for _, p := range []*process{m.core, m.entry} {
			if p != nil {
				_ = p.cmd.Process.Kill()
				<-p.exited
			}
		}
		m.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// kill kills a process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// restart kills a process and starts it again after a short delay, as the platform does.
func (m *machine) restart(role string) error {
	m.process(role).kill()
	time.Sleep(300 * time.Millisecond)
	next, err := m.startProcess(role)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if role == "core" {
		m.core = next
	} else {
		m.entry = next
	}
	return nil
}

// process returns the running process of a role.
func (m *machine) process(role string) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processOf(role)
}

// processOf returns the process of a role. The caller holds mu.
func (m *machine) processOf(role string) *process {
	if role == "core" {
		return m.core
	}
	return m.entry
}

// residentMB returns the resident memory of a process in MB of 1024*1024 bytes; 0 if it has ended.
func (p *process) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb / 1024
		}
	}
	return 0
}
