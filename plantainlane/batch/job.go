package batch

import (
	"time"
)

// Job is pieces of one stage of one request.
type Job struct {
	// Request ID.
	Request string
	// Stage number in the request's route.
	Stage int
	// Pieces is the number of pieces. Positive.
	Pieces int
	// Key of the pieces, for a stage that needs no results.
	Key string
	// Inputs of each piece, for a stage that needs results.
	Inputs []string
	// Zone in which the pieces are best made; empty for any.
	Zone string
	// CrossBytes is the bytes that cross zones if they are made in another one.
	CrossBytes int
	// Bytes is the approximate size of a result.
	Bytes int
	// Due is when the results should be there for the request to be on time if it waits nowhere afterwards.
	Due time.Time
	// Deadline is when the results are of no use any more.
	Deadline time.Time
	// Priority ranks the request; 0 is the highest.
	Priority int
	// HoldsMemory tells that the inputs take much of their upstreams' room, so that they are to be read soon.
	HoldsMemory bool
	// NextServices lists the services whose queues the request goes through afterwards, one after the other.
	NextServices []string
	// OnStarted is called at most once, when the upstreams have read the inputs of all pieces. It may be nil.
	OnStarted func()
	// OnDone is called once, with the outcome.
	OnDone func(Outcome)

	// added is when the order came to the queue.
	added time.Time
	// due is Due less the waits that the request meets afterwards, and held tells that one of them is long.
	due  time.Time
	held bool
	// next is the first piece not sent yet.
	next int
	// sentAt is when the last piece was sent; begun tells that OnStarted was called.
	sentAt time.Time
	begun  bool
	// again holds pieces to be sent once more.
	again []int
	// zones counts the pieces made in each zone.
	zones map[string]int
	// handles of the pieces made, by piece.
	handles []string
	made    int
	// tries is the number of pieces that failed.
	tries int
	done  bool
}

// Outcome ends an order.
type Outcome struct {
	// Handles of the results, by piece; nil unless all were made.
	Handles []string
	// Zone of most of the results.
	Zone string
	// Reason why pieces were not made; empty if they were.
	Reason Reason
	// RetryAfter is when there may be room, if the order was turned away.
	RetryAfter time.Duration
}

// Reason tells why pieces were not made.
type Reason string

const (
	// ReasonLate orders can't be made before their deadline.
	ReasonLate Reason = "late"
	// ReasonGone orders need a result that is gone.
	ReasonGone Reason = "gone"
	// ReasonFailed orders failed too often.
	ReasonFailed Reason = "failed"
	// ReasonNoMemory pieces found no room at the upstream.
	ReasonNoMemory Reason = "room"
	// ReasonNoOwner orders reached no owner of the queue.
	ReasonNoOwner Reason = "noOwner"
	// ReasonCancelled orders were given up by the caller.
	ReasonCancelled Reason = "cancelled"
)

// rank is when the order counts as due against other orders. One whose results take room is never put off for long, but
// being late doesn't put it before those that can be on time.
func (o *Job) rank() time.Time {
	due := o.due
	if soon := o.added.Add(lateShift); o.HoldsMemory && due.Before(soon) {
		due = soon
	}
	return due.Add(time.Duration(o.Priority) * priorityStep)
}

// mainZone returns the zone of most of the results.
func (o *Job) mainZone() string {
	best := ""
	for zone, n := range o.zones {
		if best == "" || n > o.zones[best] || n == o.zones[best] && zone < best {
			best = zone
		}
	}
	return best
}

func (o *Job) unsent() int { return o.Pieces - o.next + len(o.again) }

func (o *Job) finish(out Outcome) {
	if o.done {
		return
	}
	o.done = true
	o.OnDone(out)
}

// isLate tells whether a request can't be on time any more. One whose results take much room doesn't count, as they
// take it until the request goes on. The results of others may end while they wait; they are made again then.
//
// Load pattern: late requests that are let into the second queue of three at the end of a burst go before those that
// can be on time, and make them late in their turn.
func (o *Job) isLate(now time.Time, callTime time.Duration) bool {
	return !o.HoldsMemory && now.Add(callTime).After(o.due)
}

// giveUp is until when an order waits at most. One that holds no results yet gives up early enough for its caller
// to come back in time.
func (o *Job) giveUp(now time.Time) time.Time {
	if len(o.Inputs) > 0 {
		return o.Deadline
	}
	since := o.added
	if since.IsZero() {
		since = now
	}
	return since.Add(time.Duration(patientPart * float64(o.Deadline.Sub(since))))
}

// take returns the next piece to send.
func (o *Job) take() int {
	if n := len(o.again); n > 0 {
		p := o.again[n-1]
		o.again = o.again[:n-1]
		return p
	}
	o.next++
	return o.next - 1
}
