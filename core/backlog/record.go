package backlog

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilferry/basilferry/core/dispatch"
	"github.com/basilferry/basilferry/core/duration"
)

const (
	// MaxBytes is the largest size of an encoded summary. All nodes read it up to twice a
	// second.
	MaxBytes = 400
	// maxElements limits the lists of a decoded summary. A record of MaxBytes cannot have
	// more.
	maxElements = 256
	// maxQuantity bounds each decoded quantity, in its stored unit.
	maxQuantity = math.MaxUint32
)

// The stored form has integers, which are shorter than floating-point numbers. Work is in
// tenths of a core-second; rates, slowdowns and the mean work of queues are in hundredths.
const (
	workUnit  = 10
	ratioUnit = 100
)

type storedSummary struct {
	_        struct{} `cbor:",toarray"`
	Pools    []storedPool
	Accounts []storedAccount
	Queues   []storedQueue
}

type storedPool struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	BestEffort     bool
	Rate, Slowdown uint64
	Work           []uint64
}

type storedAccount struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Rate uint64
	Work []uint64
}

type storedQueue struct {
	_        struct{} `cbor:",toarray"`
	Route    string
	MeanWork uint64
	// Intercept and Slope are those of the correction of estimates, in hundredths.
	Intercept, Slope int64
}

// cellNumbers is the number of integers of a stored cell: priority, class, and the work that
// is not and that is on time.
const cellNumbers = 4

// Encode returns the stored form, of at most MaxBytes. What does not fit is omitted: first
// the queues with the shortest jobs, then accounts, then the pools with the least work. What
// is omitted leads to fewer refusals, never to more.
func (s *Summary) Encode() ([]byte, error) {
	stored := s.stored()
	for {
		record, err := cbor.Marshal(stored)
		if err != nil {
			return nil, fmt.Errorf("encode backlog: %w", err)
		}
		if len(record) <= MaxBytes {
			return record, nil
		}
		stored.omitOne()
	}
}

func (s *Summary) stored() *storedSummary {
	out := &storedSummary{}
	for _, p := range s.Pools {
		out.Pools = append(out.Pools, storedPool{
			Service: p.ID.Service, BestEffort: p.ID.BestEffort,
			Rate: toUnits(p.Rate, ratioUnit), Slowdown: toUnits(p.Slowdown, ratioUnit), Work: p.Work.stored(),
		})
	}
	for _, a := range s.Accounts {
		out.Accounts = append(out.Accounts, storedAccount{Name: a.Name, Rate: toUnits(a.Rate, ratioUnit), Work: a.Work.stored()})
	}
	for _, q := range s.Queues {
		out.Queues = append(out.Queues, storedQueue{
			Route: q.Route, MeanWork: toUnits(q.MeanWork, ratioUnit),
			Intercept: int64(math.Round(ratioUnit * q.Correction.Intercept)), Slope: int64(math.Round(ratioUnit * q.Correction.Slope)),
		})
	}
	slices.SortStableFunc(out.Pools, func(a, b storedPool) int { return cmp.Compare(totalUnits(b.Work), totalUnits(a.Work)) })
	slices.SortStableFunc(out.Queues, func(a, b storedQueue) int { return cmp.Compare(b.MeanWork, a.MeanWork) })
	return out
}

// omitOne omits the last queue, account or pool, in this order.
func (s *storedSummary) omitOne() {
	switch {
	case len(s.Queues) > len(s.Pools):
		s.Queues = s.Queues[:len(s.Queues)-1]
	case len(s.Accounts) > 0:
		s.Accounts = s.Accounts[:len(s.Accounts)-1]
	case len(s.Pools) > 0:
		s.Pools = s.Pools[:len(s.Pools)-1]
	default:
		s.Queues = nil
	}
}

func (h Histogram) stored() []uint64 {
	var out []uint64
	for _, c := range h {
		onTime := toUnits(c.OnTime, workUnit)
		late := toUnits(c.Work-c.OnTime, workUnit)
		if late+onTime > 0 && c.Priority >= 0 && c.Priority <= math.MaxInt32 {
			out = append(out, uint64(c.Priority), uint64(c.Class), late, onTime)
		}
	}
	return out
}

func totalUnits(cells []uint64) uint64 {
	total := uint64(0)
	for cell := range slices.Chunk(cells, cellNumbers) {
		total += cell[2] + cell[3]
	}
	return total
}

// toUnits converts a quantity to its stored form. A quantity that is not a number becomes 0.
func toUnits(x float64, perUnit int) uint64 {
	if !(x > 0) {
		return 0
	}
	return uint64(math.Round(min(x*float64(perUnit), maxQuantity)))
}

// Decode decodes the stored form of a summary.
func Decode(record []byte) (*Summary, error) {
	if len(record) > MaxBytes {
		return nil, fmt.Errorf("decode backlog: the record has %d bytes", len(record))
	}
	var stored storedSummary
	if err := cbor.Unmarshal(record, &stored); err != nil {
		return nil, fmt.Errorf("decode backlog: %w", err)
	}
	out := &Summary{}
	for _, p := range stored.Pools {
		work, err := decodeHistogram(p.Work)
		if err != nil {
			return nil, err
		}
		out.Pools = append(out.Pools, Pool{
			ID: dispatch.Pool{Service: p.Service, BestEffort: p.BestEffort}, Work: work,
			Rate: fromUnits(p.Rate, ratioUnit), Slowdown: fromUnits(p.Slowdown, ratioUnit),
		})
	}
	for _, a := range stored.Accounts {
		work, err := decodeHistogram(a.Work)
		if err != nil {
			return nil, err
		}
		out.Accounts = append(out.Accounts, Account{Name: a.Name, Rate: fromUnits(a.Rate, ratioUnit), Work: work})
	}
	for _, q := range stored.Queues {
		out.Queues = append(out.Queues, Queue{Route: q.Route, MeanWork: fromUnits(q.MeanWork, ratioUnit), Correction: q.correction()})
	}
	return out, nil
}

// maxIntercept bounds a decoded intercept: a factor of about 20,000.
const maxIntercept = 10.0

func (q storedQueue) correction() duration.Correction {
	return duration.Correction{
		Intercept: min(maxIntercept, max(-maxIntercept, float64(q.Intercept)/ratioUnit)),
		Slope:     min(1, max(0, float64(q.Slope)/ratioUnit)),
	}
}

func decodeHistogram(numbers []uint64) (Histogram, error) {
	if len(numbers)%cellNumbers != 0 || len(numbers) > maxElements*cellNumbers {
		return nil, fmt.Errorf("decode backlog: a histogram has %d numbers", len(numbers))
	}
	var out Histogram
	for cell := range slices.Chunk(numbers, cellNumbers) {
		if cell[0] > math.MaxInt32 || cell[1] >= Classes {
			return nil, fmt.Errorf("decode backlog: no priority %d with class %d", cell[0], cell[1])
		}
		onTime := fromUnits(cell[3], workUnit)
		out.Add(Cell{Priority: int(cell[0]), Class: int(cell[1]), Work: fromUnits(cell[2], workUnit) + onTime, OnTime: onTime})
	}
	return out, nil
}

func fromUnits(x uint64, perUnit int) float64 { return float64(min(x, maxQuantity)) / float64(perUnit) }
