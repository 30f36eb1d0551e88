package state

import (
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// image is the encoded form of a State.
type image struct {
	Revision     int                  `cbor:"revision"`
	Declarations wire.Declarations    `cbor:"declarations"`
	Changes      []wire.ChangeOutcome `cbor:"changes"`
	Claims       []Claim              `cbor:"claims"`
	Expired      []expiredClaim       `cbor:"expired"`
	Released     []expiredClaim       `cbor:"released"`
	Instances    []wire.InstanceInfo  `cbor:"instances"`
	Fencing      int                  `cbor:"fencing"`
	ForgottenMs  int                  `cbor:"forgottenMs"`
	Costs        []keyedCost          `cbor:"costs"`
	Spent        []keyedSpent         `cbor:"spent"`
}

type expiredClaim struct {
	Key     string `cbor:"key"`
	EndedMs int    `cbor:"endedMs"`
}

type keyedCost struct {
	Key string  `cbor:"key"`
	Row CostRow `cbor:"row"`
}

type keyedSpent struct {
	Workspace string    `cbor:"workspace"`
	Spent     BudgetUse `cbor:"spent"`
}

// Freeze returns a copy that later commands don't change. It costs no more than a few words, so that a
// snapshot can be encoded on another goroutine.
func (s *State) Freeze() *State {
	out := *s
	out.changeOrder = s.changeOrder[:len(s.changeOrder):len(s.changeOrder)]
	return &out
}

// Encode returns the state as CBOR.
func (s *State) Encode() ([]byte, error) {
	im := image{
		Revision:     s.Config.Revision,
		Declarations: s.Config.Declarations(),
		Fencing:      s.Fencing,
		ForgottenMs:  s.ForgottenMs,
	}
	for _, id := range s.changeOrder {
		c, _ := s.Changes.Get(id)
		im.Changes = append(im.Changes, c)
	}
	for _, c := range s.Claims.All() {
		im.Claims = append(im.Claims, c)
	}
	for k, ended := range s.Expired.All() {
		im.Expired = append(im.Expired, expiredClaim{k, ended})
	}
	for attempt, atMs := range s.Released.All() {
		im.Released = append(im.Released, expiredClaim{attempt, atMs})
	}
	for _, i := range s.Instances.All() {
		im.Instances = append(im.Instances, i)
	}
	for k, c := range s.Costs.All() {
		im.Costs = append(im.Costs, keyedCost{k, c})
	}
	for w, spent := range s.BudgetUse.All() {
		im.Spent = append(im.Spent, keyedSpent{w, spent})
	}
	return wire.Encode(im)
}

// Decode returns the state that Encode encoded.
func Decode(b []byte) (*State, error) {
	var im image
	if err := wire.Decode(b, &im); err != nil {
		return nil, err
	}
	s := &State{ForgottenMs: im.ForgottenMs, Fencing: im.Fencing}
	s.Config = Config{}.With(im.Declarations, nil, im.Revision)
	for _, c := range im.Changes {
		s.remember(c)
	}
	for _, c := range im.Claims {
		s.putClaim(ClaimKey(c.Claim.Workspace, c.Claim.Key), c)
	}
	for _, e := range im.Expired {
		s.Expired = s.Expired.With(e.Key, e.EndedMs)
	}
	for _, r := range im.Released {
		s.Released = s.Released.With(r.Key, r.EndedMs)
	}
	for _, i := range im.Instances {
		s.Instances = s.Instances.With(i.ID, i)
	}
	s.Costs = costTable(im.Costs)
	for _, k := range im.Spent {
		s.BudgetUse = s.BudgetUse.With(k.Workspace, k.Spent)
	}
	return s, nil
}

func costTable(rows []keyedCost) table.Table[CostRow] {
	var out table.Table[CostRow]
	for _, r := range rows {
		out = out.With(r.Key, r.Row)
	}
	return out
}
