// Package settings reads and checks the settings file of an instance.
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire/jsonc"
)

// Settings holds the content of an instance's settings file.
type Settings struct {
	// Instance identifies this instance and states where it runs.
	Instance Instance `json:"instance"`
	// Listen holds the addresses that the instance binds.
	Listen Addresses `json:"listen"`
	// Advertise holds the addresses that others connect to. Default for each address: the one in Listen.
	Advertise Addresses `json:"advertise"`
	// Join lists peer addresses of other instances to connect to at the start; empty for the first instance of a
	// region.
	Join []string `json:"join"`
	// Limits are the resources of the instance beside its processor cores.
	Limits Limits `json:"limits"`
	// Data is the durable store; nil on an instance without a disk, which never holds a replica of the control log.
	Data *Data `json:"data,omitempty"`
	// Credentials lists who may connect.
	Credentials Credentials `json:"credentials"`
	// Control holds the timing of the control log and its leases, and when a change is accepted. It must be the same
	// on all instances.
	Control Control `json:"control"`
	// Entry holds the limits of callers' traffic.
	Entry Entry `json:"entry"`
	// Upstreams holds the limits of connections to upstreams.
	Upstreams Upstreams `json:"upstreams"`
	// WeightStore is the rate limit of the weight store for model loads, over all engines together. It must be the
	// same on all instances.
	WeightStore WeightStore `json:"weightStore"`
	// Timeline limits the events that the instance records.
	Timeline Timeline `json:"timeline"`
	// Log selects what is logged, and in which format.
	Log Log `json:"log"`
}

// Instance identifies one instance and states where it runs.
type Instance struct {
	// ID is unique over all regions and the same at every start.
	ID string `json:"id"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Region is the region that the zone belongs to.
	Region string `json:"region"`
	// Cores is the number of processor cores that the instance may use; fractions are allowed. Default 1.
	Cores float64 `json:"cores"`
	// ControlOnly is set if the instance serves only control and no callers. Default false.
	ControlOnly bool `json:"controlOnly"`
}

// Addresses holds one address for each group of endpoints, as IP:PORT.
type Addresses struct {
	// Callers is for pipeline requests and the entry answer.
	Callers string `json:"callers"`
	// Upstreams is for announcements.
	Upstreams string `json:"upstreams"`
	// Operators is for changes, and for reading status, cost, the time line and metrics.
	Operators string `json:"operators"`
	// Peers is for other instances.
	Peers string `json:"peers"`
}

// Data is the durable store of an instance with a disk.
type Data struct {
	// Folder is the path of the folder that holds all files of the instance; no other instance may use it.
	Folder string `json:"folder"`
	// Voters is the number of voting replicas once enough instances have a disk: 1, 3, 5 or 7. Default 3.
	Voters int `json:"voters"`
	// Founders are the instances whose replicas are the first voters of a new log. The list must be the same on all
	// founders, and empty once the system has run: an instance that lost its folder has forgotten its votes, so it
	// must not vote as a founder again. An instance that is no founder joins as a spare replica.
	Founders []Founder `json:"founders"`
}

// Founder is an instance whose replica is one of the first voters of a new log.
type Founder struct {
	// Instance is the ID of the instance.
	Instance string `json:"instance"`
	// Address is the peer address of the instance, as IP:PORT.
	Address string `json:"address"`
}

// Credentials holds the credentials that instances, upstreams and operators authenticate with.
type Credentials struct {
	// Peer authenticates instances to each other. All instances have the same; at least 16 characters.
	Peer Secret `json:"peer"`
	// Upstreams are the credentials of upstreams, which may announce themselves.
	Upstreams []UpstreamCredential `json:"upstreams"`
	// Operators are the credentials of operators, who may change and watch the system.
	Operators []OperatorCredential `json:"operators"`
}

// UpstreamCredential lets upstreams of some services announce themselves.
type UpstreamCredential struct {
	// Name is unique among the upstreams' credentials.
	Name string `json:"name"`
	// Services lists the services that holders of the credential may announce; "*" stands for all.
	Services []string `json:"services"`
	// SHA256 is the hash of the credential in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// OperatorCredential authenticates an operator.
type OperatorCredential struct {
	// Name is unique among the operators' credentials.
	Name string `json:"name"`
	// SHA256 is the hash of the credential in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Control holds the timing of the control log and its leases, and when a change is accepted.
type Control struct {
	// Tick is the period of the control loop. Default 100ms.
	Tick Duration `json:"tick"`
	// Lease is how long an instance serves under a revision of the configuration after its last contact with the
	// leader. More than twice ElectionTimeout. Default 10s.
	Lease Duration `json:"lease"`
	// Heartbeat is the period of heartbeats on connections between instances. Default 500ms.
	Heartbeat Duration `json:"heartbeat"`
	// SilentAfter is the time without received data after which a connection between instances is closed. At least
	// twice Heartbeat. Default 2s.
	SilentAfter Duration `json:"silentAfter"`
	// ElectionTimeout is how long a replica waits for a message of the leader before it starts an election. At least
	// twice Tick. Default 1s.
	ElectionTimeout Duration `json:"electionTimeout"`
	// Acceptance is when a change is reported to the operator as accepted: "everywhere" once each instance either has
	// the change in force or has let its lease expire, "committed" once a quorum has stored the change. Default
	// "everywhere".
	Acceptance string `json:"acceptance"`
	// ServeBehind is how long an instance serves under its configuration while it knows of a newer one that hasn't
	// arrived, if Acceptance is "committed". Default 1s.
	ServeBehind Duration `json:"serveBehind"`
	// EvacuateWithin is the time within which connected instances must obey an order for an availability zone. An instance
	// whose process stood still for half of it sends upstreams nothing until the leader has confirmed what it knows, for up to
	// a second. Default 0: this isn't done.
	EvacuateWithin Duration `json:"evacuateWithin"`
}

// Values of Control.Acceptance.
const (
	AcceptEverywhere = "everywhere"
	AcceptCommitted  = "committed"
)

// Entry holds the limits of callers' traffic.
type Entry struct {
	// KeepFor is how long callers may keep an entry answer, which is the list of addresses to connect to. Default 10s.
	KeepFor Duration `json:"keepFor"`
	// MaxBodyBytes is the largest request body, even if the contract allows more. Default 8 MiB.
	MaxBodyBytes int `json:"maxBodyBytes"`
	// MaxHeaderBytes is the largest total size of a request's headers. Default 16 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// HeaderTimeout is the maximum time for receiving the headers of a request. Default 5s.
	HeaderTimeout Duration `json:"headerTimeout"`
	// BodyTimeout is the maximum time for receiving the body of a request to which no shorter deadline applies. Default 1m.
	BodyTimeout Duration `json:"bodyTimeout"`
	// IdleTimeout is how long an idle connection of a caller is kept open for its next request. Default 2m.
	IdleTimeout Duration `json:"idleTimeout"`
	// DrainLimit is how long a drain waits at most for requests in flight, from the time when no caller's entry
	// answer names the instance. Default 10m.
	DrainLimit Duration `json:"drainLimit"`
}

// Upstreams holds the limits of connections to upstreams.
type Upstreams struct {
	// IdleConnectionLimit is how long an idle connection is kept. Default 30s.
	IdleConnectionLimit Duration `json:"idleConnectionLimit"`
}

// WeightStore is the rate limit of model loads from the weight store, in the units of a model's loadCost.
type WeightStore struct {
	// PerSecond is the sustained rate. Default 1.
	PerSecond float64 `json:"perSecond"`
	// Burst is the total cost of the loads that may start at the same time after a pause. Default 1.
	Burst float64 `json:"burst"`
}

// Timeline limits the events that an instance records.
type Timeline struct {
	// Events is the number of newest events that the instance keeps; 0 records none. Default 65536.
	Events int `json:"events"`
}

// Log selects what is logged, and in which format.
type Log struct {
	// Verbosity is the highest level of verbose lines that are logged, 0 to 9. Default 0.
	Verbosity int `json:"verbosity"`
	// Format is "json" for JSON lines or "text". Default "json".
	Format string `json:"format"`
	// UsualPerSecond is the number of lines logged each second for requests that were answered on time by their first
	// send. Lines for other requests are always logged. Default 20.
	UsualPerSecond int `json:"usualPerSecond"`
	// RefusedPerSecond is the number of lines logged each second for requests that were refused, and for sends that didn't run. Default
	// 1000.
	RefusedPerSecond int `json:"refusedPerSecond"`
}

// Default returns the settings that apply where the settings file has no value.
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
			ServeBehind:     Duration(time.Second),
		},
		Entry: Entry{
			KeepFor:        Duration(10 * time.Second),
			MaxBodyBytes:   8 << 20,
			MaxHeaderBytes: 16 << 10,
			HeaderTimeout:  Duration(5 * time.Second),
			BodyTimeout:    Duration(time.Minute),
			IdleTimeout:    Duration(2 * time.Minute),
			DrainLimit:     Duration(10 * time.Minute),
		},
		Upstreams:   Upstreams{IdleConnectionLimit: Duration(30 * time.Second)},
		WeightStore: WeightStore{PerSecond: 1, Burst: 1},
		Timeline:    Timeline{Events: 65536},
		Log:         Log{Format: "json", UsualPerSecond: 20, RefusedPerSecond: 1000},
	}
}

// defaultData holds the defaults of Data for a settings file with a "data" member.
var defaultData = Data{Voters: 3}

// Load reads and checks the settings in file. If the content is wrong, it returns a *jsonc.Error with every problem
// found, which matches jsonc.ErrMalformed or jsonc.ErrInvalid. It also returns errors of reading the file.
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

// fill sets the addresses that are empty to those in from.
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
