package forward

import (
	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

// minAffinityTokens is the size of a shared part from which requests are kept together.
const minAffinityTokens = 64

// home returns the upstream that keeps the shared parts of a prompt, and how many calls more than elsewhere it may
// have. It is the same on every instance, by rendezvous hashing, so that a part is read once and not everywhere.
//
// Load pattern: sessions share long prefixes, and reading one again delays all requests that run beside it.
func home(v roster.View, service string, parts []Part) (a wire.Announcement, slack float64) {
	if len(parts) < 2 {
		return wire.Announcement{}, 0
	}
	shared := 0
	for _, p := range parts[:len(parts)-1] {
		shared += p.Tokens
	}
	if shared < minAffinityTokens {
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
	return best, homeSlack + float64(shared)/slackTokens
}

const (
	// homeSlack is the number of calls more than elsewhere that a prompt's home may have.
	homeSlack = 2
	// slackTokens is the number of shared tokens for each further call.
	slackTokens = 1500
)
