package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// Bounds of settings. Sizes are in bytes, weight rates in the units of a model's loadCost.
const (
	minSecretLength   = 16
	maxLease          = 10 * time.Minute
	maxDuration       = 24 * time.Hour
	maxBodyBytes      = 1 << 30
	minHeaderBytes    = 4 << 10
	maxHeaderBytes    = 1 << 20
	minEvents         = 16
	maxEvents         = 1 << 24
	maxUsualPerSecond = 100_000
	maxVerbosity      = 9
	minCores          = 0.01
	maxCores          = 1024
	maxLimit          = 1 << 30
	minMemoryMB       = 64
	minDescriptors    = 128
	minWeightRate     = 0.001
	maxWeightRate     = 1000
)

// checker collects the problems of one settings file.
type checker struct {
	doc      *jsonc.Document
	problems []jsonc.Problem
}

// check returns every value of s that is missing or out of bounds; doc gives the line of each problem.
func check(s *Settings, doc *jsonc.Document) []jsonc.Problem {
	c := &checker{doc: doc}
	c.name("instance.id", s.Instance.ID)
	c.name("instance.zone", s.Instance.Zone)
	c.name("instance.region", s.Instance.Region)
	c.number("instance.cores", s.Instance.Cores, minCores, maxCores)
	if s.Limits.MemoryMB != 0 {
		c.integer("limits.memoryMB", s.Limits.MemoryMB, minMemoryMB, maxLimit)
	}
	if s.Limits.Descriptors != 0 {
		c.integer("limits.descriptors", s.Limits.Descriptors, minDescriptors, maxLimit)
	}
	c.number("limits.memoryShare", s.Limits.MemoryShare, 0, 1)
	c.number("limits.linkMbps", s.Limits.LinkMbps, 0, maxLimit)
	c.addresses(s)
	if s.Data != nil {
		c.data(*s.Data)
	}
	c.credentials(s.Credentials)
	c.control(s.Control)
	c.entry(s.Entry)
	c.duration("upstreams.idleConnectionLimit", s.Upstreams.IdleConnectionLimit, time.Millisecond, maxDuration)
	c.number("weightStore.perSecond", s.WeightStore.PerSecond, minWeightRate, maxWeightRate)
	c.number("weightStore.burst", s.WeightStore.Burst, minWeightRate, maxWeightRate)
	if s.Timeline.Events != 0 {
		c.integer("timeline.events", s.Timeline.Events, minEvents, maxEvents)
	}
	c.integer("log.verbosity", s.Log.Verbosity, 0, maxVerbosity)
	c.integer("log.usualPerSecond", s.Log.UsualPerSecond, 0, maxUsualPerSecond)
	c.integer("log.refusedPerSecond", s.Log.RefusedPerSecond, 0, maxUsualPerSecond)
	if s.Log.Format != "json" && s.Log.Format != "text" {
		c.fail("log.format", `"json" or "text"`, strconv.Quote(s.Log.Format))
	}
	return c.problems
}

// fail adds a problem at a field path. found is empty if there is no value or the value is not to be shown.
func (c *checker) fail(path, expected, found string) {
	c.problems = append(c.problems, c.doc.Problem(path, expected, found))
}

func (c *checker) name(path, value string) {
	if !declaration.IsName(value) {
		c.fail(path, declaration.NameRule, strconv.Quote(value))
	}
}

func (c *checker) duration(path string, value Duration, least, most time.Duration) {
	if value.Value() < least || value.Value() > most {
		c.fail(path, fmt.Sprintf("%v to %v", least, most), value.String())
	}
}

func (c *checker) integer(path string, value, least, most int) {
	if value < least || value > most {
		c.fail(path, fmt.Sprintf("%d to %d", least, most), strconv.Itoa(value))
	}
}

func (c *checker) number(path string, value, least, most float64) {
	if !(value >= least && value <= most) {
		c.fail(path, fmt.Sprintf("%v to %v", least, most), strconv.FormatFloat(value, 'g', -1, 64))
	}
}

// addresses checks the addresses to listen on, to advertise and to join. An advertised address that equals the address
// in Listen, from which it is filled in by default, is already checked as a listen address. The only
// further problem of such an address is an unspecified IP number, with which a listen address is valid.
func (c *checker) addresses(s *Settings) {
	listen := map[string]string{}
	for _, a := range s.Listen.list() {
		path := "listen." + a.key
		if !c.address(path, a.value, true) {
			continue
		}
		if other, taken := listen[a.value]; taken {
			c.fail(path, "another address than listen."+other, strconv.Quote(a.value))
		}
		listen[a.value] = a.key
	}
	for i, a := range s.Advertise.list() {
		if a.value != s.Listen.list()[i].value {
			c.address("advertise."+a.key, a.value, false)
			continue
		}
		if p, err := netip.ParseAddrPort(a.value); err == nil && p.Addr().IsUnspecified() {
			c.fail("advertise."+a.key, "the IP number that others connect to, since listen."+a.key+" names none", "")
		}
	}
	for i, a := range s.Join {
		c.address(fmt.Sprintf("join[%d]", i), a, false)
	}
}

// keyedAddress is an address and its key in the settings file.
type keyedAddress struct{ key, value string }

// list returns the addresses, in the same order for all Addresses.
func (a Addresses) list() []keyedAddress {
	return []keyedAddress{
		{"callers", a.Callers},
		{"upstreams", a.Upstreams},
		{"operators", a.Operators},
		{"peers", a.Peers},
	}
}

// address checks one address, and reports whether it is valid. An unspecified IP number, such as 0.0.0.0, is valid only
// if allowUnspecified is set: others can't connect to it.
func (c *checker) address(path, value string, allowUnspecified bool) bool {
	p, err := netip.ParseAddrPort(value)
	switch {
	case err != nil || p.Port() == 0:
		c.fail(path, `an IP number and a port, such as "192.0.2.1:8080"`, strconv.Quote(value))
	case p.Addr().IsUnspecified() && !allowUnspecified:
		c.fail(path, "an IP number that others can connect to", strconv.Quote(value))
	default:
		return true
	}
	return false
}

func (c *checker) data(d Data) {
	if d.Folder == "" {
		c.fail("data.folder", "the path of a folder", `""`)
	}
	switch d.Voters {
	case 1, 3, 5, 7:
	default:
		c.fail("data.voters", "1, 3, 5 or 7", strconv.Itoa(d.Voters))
	}
}

func (c *checker) credentials(all Credentials) {
	if n := len(all.Peer); n < minSecretLength {
		c.fail("credentials.peer", fmt.Sprintf("at least %d characters", minSecretLength), fmt.Sprintf("%d", n))
	}
	seen := map[string]bool{}
	for i, u := range all.Upstreams {
		path := fmt.Sprintf("credentials.upstreams[%d]", i)
		c.credential(path, u.Name, u.SHA256, seen)
		if len(u.Services) == 0 {
			c.fail(path+".services", `at least one service, or "*"`, "none")
		}
		for j, s := range u.Services {
			if s != "*" {
				c.name(fmt.Sprintf("%s.services[%d]", path, j), s)
			}
		}
	}
	if len(all.Operators) == 0 {
		c.fail("credentials.operators", "at least one credential", "none")
	}
	clear(seen)
	for i, o := range all.Operators {
		c.credential(fmt.Sprintf("credentials.operators[%d]", i), o.Name, o.SHA256, seen)
	}
}

// credential checks the name and the hash of one credential. seen holds the names of the credentials before it;
// credential adds the name.
func (c *checker) credential(path, name, sha256 string, seen map[string]bool) {
	c.name(path+".name", name)
	if seen[name] {
		c.fail(path+".name", "each name once", "a second "+strconv.Quote(name))
	}
	seen[name] = true
	if !declaration.IsHash(sha256) {
		c.fail(path+".sha256", declaration.HashRule, "")
	}
}

// control checks the control timing. A lease must outlast two elections, so that instances keep serving while a leader
// is replaced.
func (c *checker) control(t Control) {
	c.duration("control.tick", t.Tick, time.Millisecond, time.Second)
	c.duration("control.heartbeat", t.Heartbeat, time.Millisecond, time.Minute)
	c.duration("control.electionTimeout", t.ElectionTimeout, 10*time.Millisecond, time.Minute)
	c.duration("control.lease", t.Lease, 10*time.Millisecond, maxLease)
	c.duration("control.silentAfter", t.SilentAfter, time.Millisecond, maxLease)
	if t.Acceptance != AcceptEverywhere && t.Acceptance != AcceptCommitted {
		c.fail("control.acceptance", `"everywhere" or "committed"`, strconv.Quote(t.Acceptance))
	}
	c.duration("control.serveBehind", t.ServeBehind, time.Millisecond, maxLease)
	c.duration("control.evacuateWithin", t.EvacuateWithin, 0, maxLease)
	if t.ElectionTimeout < 2*t.Tick {
		c.fail("control.electionTimeout", "at least twice control.tick", t.ElectionTimeout.String())
	}
	if t.Lease <= 2*t.ElectionTimeout {
		c.fail("control.lease", "more than twice control.electionTimeout", t.Lease.String())
	}
	if t.SilentAfter < 2*t.Heartbeat {
		c.fail("control.silentAfter", "at least twice control.heartbeat", t.SilentAfter.String())
	}
}

func (c *checker) entry(e Entry) {
	c.duration("entry.keepFor", e.KeepFor, time.Millisecond, maxDuration)
	c.duration("entry.drainLimit", e.DrainLimit, time.Millisecond, maxDuration)
	c.integer("entry.maxBodyBytes", e.MaxBodyBytes, 1, maxBodyBytes)
	c.integer("entry.maxHeaderBytes", e.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.duration("entry.headerTimeout", e.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.duration("entry.bodyTimeout", e.BodyTimeout, time.Second, time.Hour)
	c.duration("entry.idleTimeout", e.IdleTimeout, time.Second, time.Hour)
}
