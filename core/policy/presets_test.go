package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/shard"
)

// Guards against presets that are incomplete or contradict themselves.
func TestPresetsAreComplete(t *testing.T) {
	names := []string{}
	for _, p := range DefaultPresets() {
		names = append(names, p.Name)
		assert.Assert(t, p.IsolatedStarts != "")
		assert.Assert(t, p.BatchShare > 0 && p.BatchShare <= 1)
		assert.Assert(t, p.ReservationQuantile > 0 && p.ReservationQuantile <= 1)
		assert.Assert(t, p.ThrottleSlowdown >= 1 && p.EvictSlowdown >= p.ThrottleSlowdown)
		assert.Assert(t, p.RetryBudget >= 0 && p.RetryBudget <= 1)
	}
	assert.DeepEqual(t, names, []string{"ordinary", "peak", "maintenance"})
}

// measureAfterSwitch runs a small site under ordinary and switches to the preset. It
// returns the batch work done per second once tasks started before the switch
// have ended, and the share of late urgent requests in a surge after that.
func measureAfterSwitch(preset domain.Preset) (missShare, batchCores float64) {
	const seed, switchAt, settled, surge, end = 1, 8 * time.Second, 16 * time.Second, 24 * time.Second, 32 * time.Second
	at := site32Cores
	p := New(Config{Seed: seed})
	s := newSim(p, seed, 12, 4, at.capacity)
	urgent := &simClass{"credit-check", domain.KindUrgent, at.size(0.02), 0.2, 0.4, 0, 1}
	build := &simClass{"schedule-build", domain.KindBatch, at.size(0.1), 3, 0.3, 0, 1}
	s.burst(build, 1500)
	s.urgent(urgent, 30, deadline)
	s.run(switchAt)
	p.Configure(s.now, preset, nil)
	s.run(settled)
	done := s.work
	s.run(surge)
	batchCores = (s.work - done) / (surge - settled).Seconds()
	missed, asked := s.misses, len(s.latencies)
	s.urgent(urgent, 120, deadline)
	s.run(end)
	return float64(s.misses-missed) / float64(len(s.latencies)-asked), batchCores
}

// Guards against presets that do not do what docs/presets.md states: peak
// misses fewer deadlines in a surge, maintenance finishes more batch work.
func TestPresetsTradeMissesForBatchWork(t *testing.T) {
	presets := DefaultPresets()
	ordinaryMisses, ordinaryCores := measureAfterSwitch(presets[0])
	peakMisses, peakCores := measureAfterSwitch(presets[1])
	maintenanceMisses, maintenanceCores := measureAfterSwitch(presets[2])
	t.Logf("misses: ordinary %.4f, peak %.4f, maintenance %.4f", ordinaryMisses, peakMisses, maintenanceMisses)
	t.Logf("batch cores: ordinary %.1f, peak %.1f, maintenance %.1f", ordinaryCores, peakCores, maintenanceCores)
	assert.Assert(t, peakMisses < ordinaryMisses && ordinaryMisses < maintenanceMisses)
	assert.Assert(t, peakCores < ordinaryCores && ordinaryCores < maintenanceCores)
}

// Guards against a retry budget that does not follow the preset.
func TestRetryBudgetFollowsPreset(t *testing.T) {
	retries := func(preset domain.Preset) int {
		p := New(Config{Seed: 1})
		p.Configure(0, preset, nil)
		p.WorkerUp(0, shard.WorkerInfo{ID: "w", Rack: "r", Capacity: bigWorker})
		n := 0
		for seq := range uint64(1000) {
			d := demand(seq, domain.KindUrgent, 1000)
			p.Reserve(0, "w", d, d.Declared)
			p.Release(0, "w", d.ID, shard.ResultStopped, 0)
			d.Retry = true
			if _, refusal := p.Choose(0, d); refusal == nil {
				p.Reserve(0, "w", d, d.Declared)
				p.Release(0, "w", d.ID, shard.ResultStopped, 0)
				n++
			}
		}
		return n
	}
	presets := DefaultPresets()
	const burst = 10
	for _, preset := range presets {
		n := retries(preset)
		allowed := int(preset.RetryBudget * 1000)
		assert.Assert(t, n >= allowed-1 && n <= allowed+burst, "%s: %d", preset.Name, n)
	}
}
