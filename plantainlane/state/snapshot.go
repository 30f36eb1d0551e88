package state

import (
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// encodedState is the stored form of a State.
type encodedState struct {
	Revision     int                  `cbor:"revision"`
	Declarations wire.Declarations    `cbor:"declarations"`
	Changes      []wire.ChangeOutcome `cbor:"changes"`
	Claims       []Claim              `cbor:"claims"`
	Expired      []timedKey           `cbor:"expired"`
	Released     []timedKey           `cbor:"released"`
	Instances    []wire.InstanceInfo  `cbor:"instances"`
	Fencing      int                  `cbor:"fencing"`
	ForgottenMs  int                  `cbor:"forgottenMs"`
	Costs        []keyedCost          `cbor:"costs"`
	BudgetUse    []workspaceBudgetUse `cbor:"spent"`

	Quarantine        []wire.QuarantineEntry `cbor:"quarantine"`
	QuarantineVersion int                    `cbor:"quarantineVersion"`
	Departures        []wire.Departure       `cbor:"departures"`

	// Evacuations is left out without an entry, so that earlier versions can read the snapshot.
	Evacuations []wire.Evacuation `cbor:"evacuations,omitempty"`
}

// timedKey is a row of State.Expired (a key hash and when its claim ended) or of State.Released (an attempt and when it
// was released). Times are in milliseconds since 1970.
type timedKey struct {
	Key  string `cbor:"key"`
	AtMs int    `cbor:"endedMs"`
}

// keyedCost is a row of State.Costs.
type keyedCost struct {
	Key string  `cbor:"key"`
	Row CostRow `cbor:"row"`
}

// workspaceBudgetUse is a row of State.BudgetUse.
type workspaceBudgetUse struct {
	Workspace string    `cbor:"workspace"`
	Use       BudgetUse `cbor:"spent"`
}

// Freeze returns a copy that later commands don't change, so that another goroutine can encode a snapshot. The copy
// shares the immutable tables, so its cost doesn't depend on their size.
func (s *State) Freeze() *State {
	out := *s
	out.changeIDs = s.changeIDs[:len(s.changeIDs):len(s.changeIDs)]
	out.departed = nil // isn't encoded
	return &out
}

// Encode returns the state as CBOR.
func (s *State) Encode() ([]byte, error) {
	encoded := encodedState{
		Revision:     s.Config.Revision,
		Declarations: s.Config.Declarations(),
		Fencing:      s.Fencing,
		ForgottenMs:  s.ForgottenMs,

		QuarantineVersion: s.QuarantineVersion,
		Departures:        s.departuresInOrder(),
		Evacuations:       s.Config.EvacuationList(),
	}
	for _, id := range s.changeIDs {
		c, _ := s.Changes.Get(id)
		encoded.Changes = append(encoded.Changes, c)
	}
	for _, c := range s.Claims.All() {
		encoded.Claims = append(encoded.Claims, c)
	}
	for key, ended := range s.Expired.All() {
		encoded.Expired = append(encoded.Expired, timedKey{key, ended})
	}
	for attempt, atMs := range s.Released.All() {
		encoded.Released = append(encoded.Released, timedKey{attempt, atMs})
	}
	for _, i := range s.Instances.All() {
		encoded.Instances = append(encoded.Instances, i)
	}
	for key, c := range s.Costs.All() {
		encoded.Costs = append(encoded.Costs, keyedCost{key, c})
	}
	for w, use := range s.BudgetUse.All() {
		encoded.BudgetUse = append(encoded.BudgetUse, workspaceBudgetUse{w, use})
	}
	for _, e := range s.Quarantine.All() {
		encoded.Quarantine = append(encoded.Quarantine, e)
	}
	return wire.Encode(encoded)
}

// Decode returns the state that Encode encoded. It returns an error if b isn't a valid encoding.
func Decode(b []byte) (*State, error) {
	var encoded encodedState
	if err := wire.Decode(b, &encoded); err != nil {
		return nil, err
	}
	s := &State{ForgottenMs: encoded.ForgottenMs, Fencing: encoded.Fencing, QuarantineVersion: encoded.QuarantineVersion}
	s.Config = Config{}.With(encoded.Declarations, nil, encoded.Revision).WithEvacuations(encoded.Evacuations)
	for _, c := range encoded.Changes {
		s.recordOutcome(c)
	}
	for _, c := range encoded.Claims {
		s.putClaim(ClaimKey(c.Claim.Workspace, c.Claim.Key), c)
	}
	for _, e := range encoded.Expired {
		s.Expired = s.Expired.With(e.Key, e.AtMs)
	}
	for _, r := range encoded.Released {
		s.Released = s.Released.With(r.Key, r.AtMs)
	}
	for _, i := range encoded.Instances {
		s.Instances = s.Instances.With(i.ID, i)
	}
	s.Costs = costTable(encoded.Costs)
	for _, k := range encoded.BudgetUse {
		s.BudgetUse = s.BudgetUse.With(k.Workspace, k.Use)
	}
	for _, e := range encoded.Quarantine {
		s.Quarantine = s.Quarantine.With(e.ID, e)
	}
	for _, d := range encoded.Departures {
		s.depart(d)
	}
	return s, nil
}

// costTable returns the table of the given rows.
func costTable(rows []keyedCost) table.Table[CostRow] {
	var out table.Table[CostRow]
	for _, r := range rows {
		out = out.With(r.Key, r.Row)
	}
	return out
}
