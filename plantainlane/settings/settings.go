// Package settings reads and checks the settings file of an instance.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire/jsonc"
)

// Settings is everything an instance learns from its settings file.
type Settings struct {
	// Instance names this instance.
	Instance Instance `json:"instance"`
	// Listen holds the addresses that the instance binds.
	Listen Addresses `json:"listen"`
	// Advertise holds the addresses that others connect to. Default: those of Listen, each by itself.
	Advertise Addresses `json:"advertise"`
	// Join lists peer addresses of some other instances; empty for the first instance of a region.
	Join []string `json:"join"`
	// Data is nil on an instance without a disk, which never holds a replica of the control log.
	Data *Data `json:"data,omitempty"`
	// Credentials says who may connect.
	Credentials Credentials `json:"credentials"`
	// Control times the control log and its leases. It must be the same on all instances.
	Control Control `json:"control"`
	// Entry bounds the traffic of callers.
	Entry Entry `json:"entry"`
	// Upstreams bounds the connections to upstreams.
	Upstreams Upstreams `json:"upstreams"`
	// WeightStore is the rate of the weight store, that loads on all engines together stay under. It must be
	// the same on all instances.
	WeightStore WeightStore `json:"weightStore"`
	// Timeline bounds the recorded events.
	Timeline Timeline `json:"timeline"`
	// Log says what is logged.
	Log Log `json:"log"`
}

// Instance names one instance and its place.
type Instance struct {
	// ID is unique over all regions and the same at every start.
	ID string `json:"id"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Region is the region that the zone belongs to.
	Region string `json:"region"`
	// Cores is the processor cores that the instance may use, a part of one included. Default 1.
	Cores float64 `json:"cores"`
	// ControlOnly tells that the instance serves control and takes no callers. Default false.
	ControlOnly bool `json:"controlOnly"`
}

// Addresses holds one address for each group of endpoints, as IP:PORT.
type Addresses struct {
	// Callers is for pipeline requests and the entry answer.
	Callers string `json:"callers"`
	// Upstreams is for announcements.
	Upstreams string `json:"upstreams"`
	// Operators is for changes, status, cost, time line and metrics.
	Operators string `json:"operators"`
	// Peers is for other instances.
	Peers string `json:"peers"`
}

// Data is the durable store of an instance with a disk.
type Data struct {
	// Folder holds all files of the instance; no other instance may use it.
	Folder string `json:"folder"`
	// Voters is how many replicas vote once enough instances have a disk: 1, 3, 5 or 7. Default 3.
	Voters int `json:"voters"`
	// Founders are the instances whose replicas are the first voters of a new log. They are the same on all
	// founders, and empty once the system has run: a folder that was lost must not vote again as before. An
	// instance that is no founder joins as a spare replica.
	Founders []Founder `json:"founders"`
}

// Founder is an instance that a new log begins with.
type Founder struct {
	// Instance ID.
	Instance string `json:"instance"`
	// Address for other instances, as IP:PORT.
	Address string `json:"address"`
}

// Credentials holds what others prove themselves by.
type Credentials struct {
	// Peer is shared by all instances; at least 16 characters.
	Peer Secret `json:"peer"`
	// Upstreams may announce themselves.
	Upstreams []UpstreamCredential `json:"upstreams"`
	// Operators may change and watch the system.
	Operators []OperatorCredential `json:"operators"`
}

// UpstreamCredential lets upstreams of some services announce themselves.
type UpstreamCredential struct {
	// Name is unique among the upstreams' credentials.
	Name string `json:"name"`
	// Services that it may announce; "*" stands for all.
	Services []string `json:"services"`
	// SHA256 is the hash of the credential in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// OperatorCredential lets an operator in.
type OperatorCredential struct {
	// Name is unique among the operators' credentials.
	Name string `json:"name"`
	// SHA256 is the hash of the credential in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Control times the control log and its leases.
type Control struct {
	// Tick is the period of the control systems. Default 100ms.
	Tick Duration `json:"tick"`
	// Lease is how long an instance serves under a revision without hearing from the leader. More than
	// twice ElectionTimeout. Default 10s.
	Lease Duration `json:"lease"`
	// Heartbeat is the period of heartbeats between instances. Default 500ms.
	Heartbeat Duration `json:"heartbeat"`
	// SilentAfter closes a connection between instances without a byte for so long. At least twice
	// Heartbeat. Default 2s.
	SilentAfter Duration `json:"silentAfter"`
	// ElectionTimeout is how long a replica waits for the leader. At least twice Tick. Default 1s.
	ElectionTimeout Duration `json:"electionTimeout"`
	// Acceptance is when an operator is told that a change is accepted: "everywhere" once it is in force on every
	// instance or the instance's lease lapsed, "committed" once a quorum has stored it. Default everywhere.
	Acceptance string `json:"acceptance"`
}

// Values of Control.Acceptance.
const (
	AcceptEverywhere = "everywhere"
	AcceptCommitted  = "committed"
)

// Entry bounds the traffic of callers.
type Entry struct {
	// KeepFor is how long callers may keep the entry answer. Default 10s.
	KeepFor Duration `json:"keepFor"`
	// MaxBodyBytes bounds a request body, whatever the contract allows. Default 8 MiB.
	MaxBodyBytes int `json:"maxBodyBytes"`
	// MaxHeaderBytes bounds the headers of a request. Default 16 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// DrainLimit is the longest that a drain waits for requests in flight after KeepFor. Default 10m.
	DrainLimit Duration `json:"drainLimit"`
}

// Upstreams bounds the connections to upstreams.
type Upstreams struct {
	// IdleConnectionLimit is how long an unused connection is kept. Default 30s.
	IdleConnectionLimit Duration `json:"idleConnectionLimit"`
}

// WeightStore is the rate of the weight store, in the units of a model's loadCost.
type WeightStore struct {
	// PerSecond is the sustained rate. Default 1.
	PerSecond float64 `json:"perSecond"`
	// Burst is the most at once. Default 1.
	Burst float64 `json:"burst"`
}

// Timeline bounds the recorded events.
type Timeline struct {
	// Events is how many events the instance keeps; 0 records none. Default 65536.
	Events int `json:"events"`
}

// Log says what is logged.
type Log struct {
	// Verbosity is the highest level of verbose lines, 0 to 9. Default 0.
	Verbosity int `json:"verbosity"`
	// Format is "json" for JSON lines or "text". Default "json".
	Format string `json:"format"`
	// UsualPerSecond is the number of lines a second on requests that were answered in time at the first try.
	// Others are always logged. Default 20.
	UsualPerSecond int `json:"usualPerSecond"`
}

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		Instance: Instance{Cores: 1},
		Control: Control{
			Tick:            Duration(100 * time.Millisecond),
			Lease:           Duration(10 * time.Second),
			Heartbeat:       Duration(500 * time.Millisecond),
			SilentAfter:     Duration(2 * time.Second),
			ElectionTimeout: Duration(time.Second),
			Acceptance:      AcceptEverywhere,
		},
		Entry: Entry{
			KeepFor:        Duration(10 * time.Second),
			MaxBodyBytes:   8 << 20,
			MaxHeaderBytes: 16 << 10,
			DrainLimit:     Duration(10 * time.Minute),
		},
		Upstreams:   Upstreams{IdleConnectionLimit: Duration(30 * time.Second)},
		WeightStore: WeightStore{PerSecond: 1, Burst: 1},
		Timeline:    Timeline{Events: 65536},
		Log:         Log{Format: "json", UsualPerSecond: 20},
	}
}

// defaultData is the Data that a file with a "data" member changes.
var defaultData = Data{Voters: 3}

// Load reads and checks file. Besides errors of reading the file, it returns a *jsonc.Error with every
// problem found, which is jsonc.ErrMalformed or jsonc.ErrInvalid.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	s := Default()
	if err := doc.Decode(&s, jsonc.Default(defaultData)); err != nil {
		return nil, err
	}
	s.Advertise.fill(s.Listen)
	if err := jsonc.NewError(check(&s, doc)); err != nil {
		return nil, err
	}
	return &s, nil
}

func (a *Addresses) fill(from Addresses) {
	for _, p := range [][2]*string{
		{&a.Callers, &from.Callers},
		{&a.Upstreams, &from.Upstreams},
		{&a.Operators, &from.Operators},
		{&a.Peers, &from.Peers},
	} {
		if *p[0] == "" {
			*p[0] = *p[1]
		}
	}
}
