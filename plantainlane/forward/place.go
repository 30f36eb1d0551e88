package forward

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
)

const (
	// minAffinityTokens is the size of the shared parts from which requests are kept together.
	minAffinityTokens = 64
	// maxHomes is the number of upstreams that a prompt's shared parts are kept at, in order.
	maxHomes = 3
	// homeSlack is the number of calls more than elsewhere that a home may have.
	homeSlack = 2
	// slackTokens is the number of shared tokens for each further call.
	slackTokens = 1500
)

// homes are the upstreams that keep the shared parts of a prompt, the first one first.
type homes struct {
	ids []string
	// zone of the first one; empty without one.
	zone string
	// slack is how many calls more than elsewhere a home may have.
	slack float64
}

func (h homes) first() string {
	if len(h.ids) == 0 {
		return ""
	}
	return h.ids[0]
}

// zoneWeights holds the share of the stages' upstreams in each availability zone.
type zoneWeights map[string]float64

// homesOf returns the homes of a prompt. They are the same on every instance, by rendezvous hashing, so that a part is
// read once and not everywhere. Upstreams in zones with more of the stages' upstreams are homes of more prompts, since
// the results of stages are needed where the request runs.
//
// Load pattern: sessions share long prefixes, and reading one again delays all requests that run beside it.
func homesOf(v roster.View, service string, stages []site.Stage, parts []PromptPart) homes {
	if len(parts) < 2 {
		return homes{}
	}
	shared := 0
	for _, p := range parts[:len(parts)-1] {
		shared += p.Tokens
	}
	key := parts[len(parts)-2].ID
	if shared < minAffinityTokens {
		key = parts[len(parts)-1].ID
	}
	weights := weigh(v, stages)
	type scored struct {
		id, zone string
		score    float64
	}
	var all []scored
	for id, row := range v.Rows.All() {
		if row.Announcement.Service == service && row.Usable() {
			zone := row.Announcement.Zone
			all = append(all, scored{id, zone, rendezvous(key, id, weights.of(zone))})
		}
	}
	if len(all) == 0 {
		return homes{}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	h := homes{zone: all[0].zone, slack: homeSlack + float64(shared)/slackTokens}
	for _, s := range all[:min(len(all), maxHomes)] {
		h.ids = append(h.ids, s.id)
	}
	return h
}

// rendezvous returns the score of a candidate for a key. Candidates win keys in proportion to their weights.
func rendezvous(key, id string, weight float64) float64 {
	const bits = 53
	hash := xxhash.Sum64String(key+"\x00"+id) >> (64 - bits)
	return -weight / math.Log((float64(hash)+0.5)/(1<<bits))
}

// weigh returns the weights of the availability zones for requests with stages; nil without stages.
func weigh(v roster.View, stages []site.Stage) zoneWeights {
	if len(stages) == 0 {
		return nil
	}
	counts := make(zoneWeights)
	for _, row := range v.Rows.All() {
		a := &row.Announcement
		if row.Usable() && slices.ContainsFunc(stages, func(s site.Stage) bool { return s.Service == a.Service }) {
			counts[a.Zone]++
		}
	}
	return counts
}

// leastWeight is the weight of a zone without any of the stages' upstreams.
const leastWeight = 0.1

func (z zoneWeights) of(zone string) float64 {
	if z == nil {
		return 1
	}
	return max(z[zone], leastWeight)
}
