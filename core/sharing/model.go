package sharing

import "time"

// Model holds what was learned of the user loads and of the interference
// between images.
type Model struct {
	regressions map[string]*regression
	loads       *loads
}

// NewModel returns a model without any samples.
func NewModel() *Model { return &Model{regressions: map[string]*regression{}, loads: newLoads()} }

func (m *Model) regression(servingImage string) *regression {
	r := m.regressions[servingImage]
	if r == nil {
		r = newRegression()
		m.regressions[servingImage] = r
	}
	return r
}

const (
	// harmlessInterference is the interference up to which a best-effort task is
	// neither moved away from a serving task nor considered when serving tasks
	// are placed.
	harmlessInterference = 0.07
	// minSinceFinish is how long ago the last best-effort task on a worker must
	// have finished before a tail shows the interference of those that are left.
	// A tail, like the CPU use of a best-effort task, covers the last half
	// second.
	minSinceFinish = 550 * time.Millisecond
	// tailLag is the age of the middle of that half second.
	tailLag = 250 * time.Millisecond
	// maxKnownInterference is the known interference up to which a sample counts
	// fully toward the user load. The effects are not known well enough to
	// subtract more.
	maxKnownInterference = 0.1
	// unknownEffectWeight is the weight of a load sample with more interference
	// than maxKnownInterference, with an image of unknown effect, or from a
	// saturated tail. Other load samples have a weight of 1.
	unknownEffectWeight = 0.2
	// maxLoadDeviation bounds the difference between a load sample and the
	// forecast, so that a disturbance from another cause does not distort the
	// fit.
	maxLoadDeviation = 0.25
)

// AddSample updates the model with one sample of the tasks on a worker.
// sinceFinish is the time since a best-effort task last finished there. A
// sample with less than minSinceFinish is ignored.
func (m *Model) AddSample(now Instant, serving []ServingTask, bestEffort []BestEffortTask, sinceFinish time.Duration) {
	if sinceFinish < minSinceFinish {
		return
	}
	cpuUsed := make(map[string]float64, len(bestEffort))
	for _, task := range bestEffort {
		cpuUsed[task.Image] += task.CPUUsed
	}
	for i := range serving {
		if s := &serving[i]; s.Tail > 0 {
			m.addTailSample(now-tailLag, s, cpuUsed)
		}
	}
}

func (m *Model) addTailSample(t Instant, s *ServingTask, cpuUsed map[string]float64) {
	r := m.regression(s.Image)
	explainedInterference, effectsKnown := r.explainedInterference(cpuUsed)
	load, loadKnown := m.loads.valueAt(s.Step, t)
	// A saturated tail shows only a lower bound of the utilization. It tells
	// something about the effects only if the model expects less than that.
	saturated := s.utilization() > saturatedUtilization
	if loadKnown && len(cpuUsed) > 0 && (!saturated || load+explainedInterference < s.utilization()) {
		r.addSample(cpuUsed, s.utilization()-load)
	}
	loadSample := s.utilization() - explainedInterference
	if loadKnown {
		loadSample = min(max(loadSample, load-maxLoadDeviation), load+maxLoadDeviation)
	}
	weight := unknownEffectWeight
	if effectsKnown && explainedInterference <= maxKnownInterference && !saturated {
		weight = 1
	}
	m.loads.add(s.Step, t, loadSample, weight)
}

// explainedInterference returns the interference of the best-effort images
// with the given CPU use, and whether the effects of all of them are known.
func (r *regression) explainedInterference(cpuUsed map[string]float64) (interference float64, effectKnown bool) {
	effectKnown = true
	for image, used := range cpuUsed {
		interference += r.effect(image) * used
		effectKnown = effectKnown && r.effectKnown(image)
	}
	return interference, effectKnown
}

// IsHarmless reports whether the best-effort task at full speed is known to
// have little effect on the serving image.
func (m *Model) IsHarmless(task BestEffortTask, servingImage string) bool {
	regression := m.regressions[servingImage]
	return regression != nil && regression.effectKnown(task.Image) && regression.effect(task.Image)*task.CPUShare <= harmlessInterference
}

// Interferes reports whether the best-effort task at full speed is known to
// interfere strongly with the serving image.
func (m *Model) Interferes(task BestEffortTask, servingImage string) bool {
	regression := m.regressions[servingImage]
	return regression != nil && regression.effect(task.Image)*task.CPUShare > harmlessInterference
}

// Effect is what was learned of a pair of images.
type Effect struct {
	ServingImage, BestEffortImage string
	// Interference is the interference that the best-effort image would cause if
	// it used all processors of the worker.
	Interference float64
	// Known is true if the images have shared a worker often enough for the
	// interference to count as known.
	Known bool
}

// Effects returns what was learned of each pair of images, in no particular
// order.
func (m *Model) Effects() []Effect {
	var out []Effect
	for servingImage, r := range m.regressions {
		for bestEffortImage := range r.columnByImage {
			out = append(out, Effect{
				ServingImage: servingImage, BestEffortImage: bestEffortImage,
				Interference: r.effect(bestEffortImage), Known: r.effectKnown(bestEffortImage),
			})
		}
	}
	return out
}

// Load describes the user load of a typical step.
type Load struct {
	Period time.Duration
	// Mean and Amplitude are utilizations.
	Mean, Amplitude float64
	// Steps is the number of steps whose load is tracked.
	Steps int
}

// Load returns what all user loads have in common.
func (m *Model) Load() Load {
	l := m.loads
	return Load{Period: periods[l.period], Mean: l.prior.mean, Amplitude: l.prior.c, Steps: len(l.byStep)}
}
