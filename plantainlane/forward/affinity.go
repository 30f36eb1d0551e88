package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/placement"
	"plantainlane/plantainlane/promptcache"
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
	// plan replaces the slack where prompts are weighed, see planOf; nil otherwise.
	plan *promptcache.Plan
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
//
// It is used for services whose engines aren't described by the site or report no pace, see planOf for the others.
func affinityOf(upstreams []listedUpstream, parts []PromptPart) affinity {
	if len(parts) < 2 || len(upstreams) == 0 {
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
	var best [maxPreferred]*listedUpstream
	var scores [maxPreferred]float64
	text := append([]byte(key), 0)
	for i := range upstreams {
		u := &upstreams[i]
		text = append(text[:len(key)+1], u.id...)
		score := placement.Score(xxhash.Sum64(text), u.weight)
		// One insertion into the best so far takes the place of sorting all upstreams.
		for j := range best {
			if best[j] == nil || score > scores[j] {
				copy(best[j+1:], best[j:])
				copy(scores[j+1:], scores[j:])
				best[j], scores[j] = u, score
				break
			}
		}
	}
	out := affinity{zone: best[0].zone, slack: baseSlack + float64(shared)/tokensPerSlackCall}
	for _, u := range best[:min(len(upstreams), maxPreferred)] {
		out.ids = append(out.ids, u.id)
	}
	return out
}

// planOf returns the affinity of a prompt by a plan, if the site describes the engines of the request's service, they report
// their pace, and the prompt's size is known. Only reports with a pace are passed on between instances: without these an
// instance knows too little of the loads to weigh them, and prompts would lose their places for nothing.
func (q *request) planOf(now time.Time, upstreams *upstreamList) (affinity, bool) {
	service := q.site.Services[q.service]
	if q.server.Prompts == nil || service == nil || service.Engine == nil || !q.server.Picker.ReportsPace(q.service) {
		return affinity{}, false
	}
	engine := promptcache.Engine{Slots: service.Engine.Slots, CacheTokens: service.Engine.CacheTokens}
	if !engine.IsKnown() {
		return affinity{}, false
	}
	plan := q.server.Prompts.Plan(now, q.service, engine, promptcache.NewPrompt(q.call.Parts), upstreams.placement)
	if plan == nil {
		return affinity{}, false
	}
	plan.HasEvents = q.route.Stream
	return affinity{ids: plan.Preferred, zone: plan.Zone, plan: plan}, true
}

// setAffinity sets the preferred upstreams of the request.
func (q *request) setAffinity(now time.Time) {
	if len(q.call.Parts) == 0 {
		return
	}
	upstreams := q.server.placements.of(now, q.server.Views.Upstreams(), q.site, q.route, q.service)
	if a, ok := q.planOf(now, upstreams); ok {
		q.affinity = a
		return
	}
	q.affinity = affinityOf(upstreams.all, q.call.Parts)
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
