package forward

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
)

const (
	// minAffinityTokens is the total size of a prompt's shared parts from which its preferred upstreams are selected by
	// the last shared part. Below this size they are selected by the last part.
	minAffinityTokens = 64
	// maxPreferred is the maximum number of preferred upstreams of a prompt.
	maxPreferred = 3
	// baseSlack is affinity.slack without the calls for shared tokens.
	baseSlack = 2
	// tokensPerSlackCall is the number of shared tokens that raise the slack by one call.
	tokensPerSlackCall = 1500
)

// affinity holds the preferred upstreams of a prompt: those whose prefix caches are to keep its shared parts.
type affinity struct {
	// ids of the preferred upstreams, the most preferred first; empty without affinity.
	ids []string
	// zone of the most preferred upstream; empty without affinity.
	zone string
	// slack is the number of calls by which the load of a preferred upstream may exceed that of the upstream chosen
	// otherwise.
	slack float64
}

// first returns the ID of the most preferred upstream; empty without affinity.
func (a affinity) first() string {
	if len(a.ids) == 0 {
		return ""
	}
	return a.ids[0]
}

// zoneWeights holds the number of usable upstreams of a route's stages in each availability zone; nil without stages.
type zoneWeights map[string]float64

// affinityOf returns the preferred upstreams of a prompt. All instances compute the same upstreams, by rendezvous
// hashing of the last shared part, so that a prefix is processed at a few upstreams and not at all of them: sessions
// share long prefixes, and processing a prefix again delays all requests that run at the same upstream. Prompts whose
// shared parts are small are hashed by their last part, which belongs to one request or session.
//
// The more usable upstreams of the stages a zone has, the more prompts prefer the upstreams in that zone, because the
// results of the stages are transferred to where the request runs.
func affinityOf(v roster.View, service string, stages []site.Stage, parts []PromptPart) affinity {
	if len(parts) < 2 {
		return affinity{}
	}
	shared := 0
	for _, p := range parts[:len(parts)-1] {
		shared += p.Tokens
	}
	key := parts[len(parts)-2].ID
	if shared < minAffinityTokens {
		key = parts[len(parts)-1].ID
	}
	weights := weightZones(v, stages)
	type scored struct {
		id, zone string
		score    float64
	}
	var all []scored
	for id, row := range v.Rows.All() {
		if row.Announcement.Service == service && v.Usable(row) {
			zone := row.Announcement.Zone
			all = append(all, scored{id, zone, rendezvous(key, id, weights.weight(zone))})
		}
	}
	if len(all) == 0 {
		return affinity{}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := affinity{zone: all[0].zone, slack: baseSlack + float64(shared)/tokensPerSlackCall}
	for _, s := range all[:min(len(all), maxPreferred)] {
		out.ids = append(out.ids, s.id)
	}
	return out
}

// rendezvous returns the score of an upstream for a key by weighted rendezvous hashing: the fraction of keys for which
// an upstream has the highest score is proportional to its weight.
func rendezvous(key, id string, weight float64) float64 {
	const bits = 53 // precision of a float64
	hash := xxhash.Sum64String(key+"\x00"+id) >> (64 - bits)
	return -weight / math.Log((float64(hash)+0.5)/(1<<bits))
}

// weightZones counts the usable upstreams of the stages in each availability zone. It returns nil without stages.
func weightZones(v roster.View, stages []site.Stage) zoneWeights {
	if len(stages) == 0 {
		return nil
	}
	counts := make(zoneWeights)
	for _, row := range v.Rows.All() {
		a := &row.Announcement
		if v.Usable(row) && slices.ContainsFunc(stages, func(s site.Stage) bool { return s.Service == a.Service }) {
			counts[a.Zone]++
		}
	}
	return counts
}

// minZoneWeight is the weight of a zone without upstreams of the stages.
const minZoneWeight = 0.1

// weight returns the weight of a zone; 1 for every zone if the request has no stages.
func (z zoneWeights) weight(zone string) float64 {
	if z == nil {
		return 1
	}
	return max(z[zone], minZoneWeight)
}
