package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { plays["frozen-founder"] = frozenFounder }

// killAll kills the processes of all machines, as a loss of their power does.
func (c *cluster) killAll() {
	for _, m := range c.machines {
		_ = m.core.cmd.Process.Kill()
		_ = m.entry.cmd.Process.Kill()
	}
	for _, m := range c.machines {
		<-m.core.exited
		<-m.entry.exited
	}
}

// freeze suspends both processes of a machine.
func (m *machine) freeze() {
	for _, p := range []*process{m.core, m.entry} {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// frozenFounder: one machine freezes at the first start. Right after the first configuration was acknowledged, another one loses its disk
// while all other machines lose power.
func frozenFounder(c *cluster, trouble bool) int {
	const (
		wipeDown   = time.Second
		recoverIn  = 12 * time.Second
		readsUntil = 30 * time.Second
	)
	first := newConfig(7)
	first.addPlain("wuno96b")
	first.addRoute("/puxa400/", "idempotent", 2000, map[string]any{"service": "wuno96b"})
	frozen, wiped := c.machines[2], c.machines[0]
	if trouble {
		frozen.freeze()
		c.rec.log("trouble    %s freezes, %d files on its disk", frozen.ip, filesOf(frozen))
	}
	if status, _ := c.replace(7, first.text(), 20*time.Second); status != 200 {
		return failed
	}
	c.rec.log("operator   configuration 7 is acknowledged")
	c.killAll()
	if err := os.RemoveAll(filepath.Join(wiped.folder, "data")); err != nil {
		return failed
	}
	if err := os.MkdirAll(filepath.Join(wiped.folder, "data"), 0o700); err != nil {
		return failed
	}
	c.rec.log("trouble    all machines lose power; %s loses its disk; files on the disks: %d, %d, %d", wiped.ip,
		filesOf(c.machines[0]), filesOf(c.machines[1]), filesOf(c.machines[2]))
	time.Sleep(wipeDown)
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return failed
		}
	}
	back := time.Now()
	log := &runLog{}
	if _, err := newWorker(c, log, "i-plain", "wuno96b", "milano-a", 6); err != nil {
		return failed
	}
	read, served := 0, 0
	for n := 0; time.Since(back) < readsUntil; n++ {
		m := c.machines[n%len(c.machines)]
		status, text := c.call(m, http.MethodGet, "/plantainlane/Config.Read", nil, 2*time.Second)
		var got struct{ Version int }
		_ = json.Unmarshal(text, &got)
		c.rec.log("operator   reads from %s: %d, version %d", m.ip, status, got.Version)
		if status == 200 && got.Version == 7 {
			read++
		}
		if c.send(m, http.MethodGet, "/puxa400/a", fmt.Sprintf("after-%d", n), "", time.Second).status == 200 {
			served++
		}
		if status == 200 && got.Version != 7 {
			c.rec.log("LOST       version %d is read, version 7 was acknowledged", got.Version)
			return broken
		}
		if read >= 3 && served >= 3 {
			c.rec.log("case       read and served again %v after the machines were back", time.Since(back).Round(time.Millisecond))
			return held
		}
		time.Sleep(time.Second)
	}
	c.rec.log("case       all machines are back for %v (recover_s is %v): configuration 7 was read %d times, %d requests were served", readsUntil, recoverIn, read, served)
	if read > 0 {
		return held
	}
	c.rec.log("LOST       configuration 7, which was acknowledged, is gone")
	return broken
}

// filesOf returns the number of files on a machine's disk.
func filesOf(m *machine) int {
	entries, _ := os.ReadDir(filepath.Join(m.folder, "data"))
	return len(entries)
}
