package router

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/service"
)

// BenchmarkSubmit measures an urgent request that a shard answers immediately,
// on the node that owns the shard and through another node. The difference is
// the cost of forwarding.
func BenchmarkSubmit(b *testing.B) {
	cases := []struct{ name, key string }{{"own", "a/0/"}, {"one-hop", "b/0/"}}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			c := newCluster(b, false)
			task := urgentTask(testTimeout, string(make([]byte, 1024)))
			task.ID = domain.RequestID{Shard: keyRing{}.RequestIDForKey(tc.key + "1").Shard}
			took := make([]time.Duration, 0, b.N)
			for b.Loop() {
				task.ID.Seq++
				start := time.Now()
				_, err := c.nodes["a1"].Router.Submit(b.Context(), service.SubmitRequest{Task: task})
				took = append(took, time.Since(start))
				assert.NilError(b, err)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Nanoseconds()), "p50-ns")
			b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
		})
	}
}
