package engine

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/journal"
)

// BenchmarkCommit measures group commit against the in-memory log with 2 ms per
// append: appends/s and the latency from Append to AppendDone. The entries
// arrive at a fixed rate; 160 per 100 ms are the 1,600 starts/s of the target
// size.
func BenchmarkCommit(b *testing.B) {
	for _, perSecond := range []int{100, 1600, 16000} {
		b.Run(fmt.Sprintf("entries/s=%d", perSecond), func(b *testing.B) { benchCommit(b, perSecond) })
	}
}

func benchCommit(b *testing.B, perSecond int) {
	l := newMemLog()
	l.latency = 2 * time.Millisecond
	g := newFixture(b, l, "n1")
	defer g.close(b)
	before := l.appends
	var mu sync.Mutex
	var pending sync.WaitGroup
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	failed := 0
	entry := journal.Entry{Shard: testShard, Epoch: 1, Intent: &journal.Intent{ID: urgent(1).Task.ID, BodyHash: 1 << 60}}
	started := time.Now()
	for i := range b.N {
		sleep(b.Context(), time.Until(started.Add(time.Duration(i)*time.Second/time.Duration(perSecond))))
		sent := time.Now()
		pending.Add(1)
		g.committer.add([]journal.Entry{entry}, nil, func(err *domain.Error) {
			mu.Lock()
			defer mu.Unlock()
			defer pending.Done()
			_ = latency.RecordValue(time.Since(sent).Microseconds())
			if err != nil {
				failed++
			}
		})
	}
	pending.Wait()
	took := time.Since(started).Seconds()
	l.mu.Lock()
	appends := l.appends - before
	l.mu.Unlock()
	b.ReportMetric(float64(appends)/took, "appends/s")
	b.ReportMetric(float64(b.N)/float64(appends), "entries/append")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(failed), "failed")
}
