package forward

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// slowAfter is the time after which a caller that hasn't read its answer may lose it to make room for others.
const slowAfter = time.Second

// delivery is a large answer that is being written to its caller.
type delivery struct {
	request *request
	bytes   int64
	since   time.Time
	// isBroken is set once the delivery was broken off.
	isBroken bool
}

// deliveries holds the large answers that are being written to callers. It is safe for concurrent use.
type deliveries struct {
	mu sync.Mutex
	// list is in the order in which the deliveries began.
	list []*delivery
}

// begin adds a delivery.
func (d *deliveries) begin(x *delivery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, x)
}

// end removes a delivery. The connection of its caller isn't used by the deliveries any more.
func (d *deliveries) end(x *delivery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.list, x); i >= 0 {
		d.list = slices.Delete(d.list, i, i+1)
	}
}

// makeRoom breaks off the deliveries that have taken longest, until those broken off hold bytes. It returns false if all have begun
// less than slowAfter ago.
func (d *deliveries) makeRoom(bytes int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, found := time.Now(), false
	for _, x := range d.list {
		if bytes <= 0 || now.Sub(x.since) < slowAfter {
			break
		}
		if !x.isBroken {
			x.isBroken = true
			klog.InfoS("answer broken off, its caller reads too slowly", "request", x.request.call.ID, "bytes", x.bytes,
				"ms", now.Sub(x.since).Milliseconds())
			_ = x.request.control.SetWriteDeadline(time.Unix(1, 0))
		}
		bytes -= x.bytes
		found = true
	}
	return found
}

// writeAnswer writes a whole answer to the caller. While it does, a large one can be broken off to make room for others.
func (q *request) writeAnswer(body []byte) error {
	if q.answerMemory.Held() > 0 {
		x := &delivery{request: q, bytes: q.answerMemory.Held(), since: time.Now()}
		q.server.deliveries.begin(x)
		defer q.server.deliveries.end(x)
	}
	_, err := q.writer.Write(body)
	return err
}

// BreakOffSlowAnswers breaks off answers whose callers read slowly, as exchange.Memory.MakeRoom does.
func (s *Server) BreakOffSlowAnswers(bytes int64) bool { return s.deliveries.makeRoom(bytes) }
