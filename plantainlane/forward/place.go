package forward

import (
	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/route"
	"plantainlane/wire"
)

// minAffinityTokens is the size of a shared part from which requests are kept together.
const minAffinityTokens = 64

// home returns the upstream that keeps the shared parts of a prompt: the same on every instance, by rendezvous
// hashing, so that a part is read once and not at every upstream.
//
// Load pattern: sessions share long prefixes, and reading one again delays all requests that run beside it.
func home(v roster.View, service string, parts []Part) (wire.Announcement, float64) {
	shared, all := 0, 0
	for i, p := range parts {
		all += p.Tokens
		if i < len(parts)-1 {
			shared += p.Tokens
		}
	}
	if len(parts) < 2 || shared < minAffinityTokens {
		return wire.Announcement{}, 0
	}
	key := parts[len(parts)-2].ID
	var best wire.Announcement
	most := uint64(0)
	for id, row := range v.Rows.All() {
		if row.Announcement.Service != service || !row.Usable() {
			continue
		}
		if weight := xxhash.Sum64String(key + "\x00" + id); best.ID == "" || weight > most {
			best, most = row.Announcement, weight
		}
	}
	return best, float64(shared) / float64(max(all, 1))
}

// hints returns what the choice of an upstream should know of the request's prompt.
func hints(a wire.Announcement, share float64) []route.Hint {
	if a.ID == "" {
		return nil
	}
	return []route.Hint{{Upstream: a.ID, Share: share}}
}
