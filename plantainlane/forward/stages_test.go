package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// lateReader is a dispatcher that keeps OnInputsRead of all jobs, as an owner does that calls it after a job's end.
// The jobs of the second stage end with the outcomes in second, then successfully.
type lateReader struct {
	inputsRead []func()
	second     []batch.Outcome
	released   []string
	// started is called when a job of the second stage begins; it may be nil.
	started func()
}

func (d *lateReader) Run(_ context.Context, service string, job batch.Job) batch.Outcome {
	if job.Stage == 1 {
		d.inputsRead = append(d.inputsRead, job.OnInputsRead)
		if d.started != nil {
			d.started()
		}
		if len(d.second) > 0 {
			out := d.second[0]
			d.second = d.second[1:]
			return out
		}
	}
	return batch.Outcome{Handles: []string{service + "/result"}}
}

func (d *lateReader) Release(_, _ string, handles []string) {
	d.released = append(d.released, handles...)
}

// WaitTimes returns those of a long queue, so that results are released as soon as they were read.
func (d *lateReader) Reported(string, wire.UpstreamLoad) {}

func (d *lateReader) WaitTimes(string, string) batch.WaitTimes {
	return batch.WaitTimes{All: time.Second}
}

// twoStages returns the run of two stages, of which the second needs the results of the first.
func twoStages(d Dispatcher) *stageRun {
	return &stageRun{
		dispatcher: d, site: &site.Site{Services: map[string]*site.Service{}},
		route: &site.Route{Stages: []site.Stage{{Service: "first"}, {Service: "second", After: []int{0}}}},
		call:  &Call{Pieces: []int{1, 1}}, received: time.Now(), deadline: time.Now().Add(time.Second),
	}
}

// TestInputsReadAfterEndOfRequestAreIgnored guards against a panic of the instance when a queue's owner reports that
// inputs were read after the request has ended and released them.
func TestInputsReadAfterEndOfRequestAreIgnored(t *testing.T) {
	is := is.New(t)
	d := &lateReader{second: []batch.Outcome{{Reason: batch.ReasonCancelled}}}
	x := twoStages(d)
	_, err := x.run(context.Background())
	is.True(err != nil)
	d.inputsRead[0]()
	is.Equal(d.released, []string{"first/result"})
}

// TestInputsReadOfEarlierRunKeepResultsOfNextRun guards against results that are released while they are needed: the
// stages were run again, and the report that inputs were read is one of the first run.
func TestInputsReadOfEarlierRunKeepResultsOfNextRun(t *testing.T) {
	is := is.New(t)
	d := &lateReader{second: []batch.Outcome{{Reason: batch.ReasonGone}}}
	d.started = func() {
		if len(d.inputsRead) == 2 {
			d.inputsRead[0]()
			is.Equal(d.released, []string{"first/result"}) // of the first run only
		}
	}
	x := twoStages(d)
	_, err := x.run(context.Background())
	is.NoErr(err)
	is.Equal(len(d.inputsRead), 2)
	is.Equal(d.released, []string{"first/result", "first/result"})
}
