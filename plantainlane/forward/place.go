package forward

import (
	"cmp"
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
	// leastNeighbours is the least number of upstreams that prompts which begin alike are spread over, and
	// neighbourPart the part of all upstreams.
	leastNeighbours = 4
	neighbourPart   = 1.0 / 3
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

// candidate is an upstream that may become a home. A higher score is better.
type candidate struct {
	id, zone      string
	weight, score float64
}

// homesOf returns the homes of a prompt. They are the same on every instance, by rendezvous hashing, so that a part is
// read once and not everywhere. Where most of what a session shares is its first part, which other sessions share too,
// its homes are among the upstreams that prompts with that part are spread over. Upstreams in zones with more of the stages' upstreams are homes of more prompts, since the results of
// stages are needed where the request runs.
//
// Load pattern: sessions share long prefixes, and sessions of one kind a first part. Reading a part again delays all
// requests that run beside it; homes by session alone have every upstream read every first part.
func homesOf(v roster.View, service string, stages []site.Stage, parts []Part) homes {
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
	all := candidates(v, service, stages)
	if len(all) == 0 {
		return homes{}
	}
	if first := parts[0]; shared >= minAffinityTokens && first.ID != key && 2*first.Tokens > shared {
		rank(all, first.ID)
		all = all[:neighbours(len(all))]
	}
	rank(all, key)
	h := homes{zone: all[0].zone, slack: homeSlack + float64(shared)/slackTokens}
	for _, c := range all[:min(len(all), maxHomes)] {
		h.ids = append(h.ids, c.id)
	}
	return h
}

// candidates returns the upstreams of a service that may be sent to.
func candidates(v roster.View, service string, stages []site.Stage) []candidate {
	weights := weigh(v, stages)
	var all []candidate
	for id, row := range v.Rows.All() {
		if row.Announcement.Service == service && row.Usable() {
			zone := row.Announcement.Zone
			all = append(all, candidate{id: id, zone: zone, weight: weights.of(zone)})
		}
	}
	return all
}

// neighbours is the number of upstreams that prompts with the same first part are spread over.
func neighbours(upstreams int) int {
	return min(upstreams, max(leastNeighbours, int(math.Ceil(neighbourPart*float64(upstreams)))))
}

// rank sorts candidates by their scores for a key, the best first.
func rank(all []candidate, key string) {
	for i := range all {
		all[i].score = rendezvous(key, all[i].id, all[i].weight)
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
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
