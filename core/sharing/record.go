package sharing

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// storedModel is the stored form of a model. The phases of the loads are left
// out: they are known again after two seconds, and the clocks of two owners
// differ.
type storedModel struct {
	_               struct{} `cbor:",toarray"`
	PeriodMS        int64
	Mean, Amplitude float32
	Regressions     []storedRegression
}

// storedRegression is the stored form of a fit. Numbers are of single precision, which
// halves the record.
type storedRegression struct {
	_            struct{} `cbor:",toarray"`
	ServingImage string
	Images       []string
	Products     [][]float32
	Targets      []float32
	Weight       float32
	SumSquares   float32
}

// Encode returns the stored form of the model, so that a new owner need not
// learn again.
func (m *Model) Encode() ([]byte, error) {
	l := m.Load()
	out := storedModel{PeriodMS: l.Period.Milliseconds(), Mean: float32(l.Mean), Amplitude: float32(l.Amplitude)}
	for serve, f := range m.regressions {
		out.Regressions = append(out.Regressions, f.stored(serve))
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode learned pressures: %w", err)
	}
	return data, nil
}

func (f *regression) stored(serve string) storedRegression {
	s := storedRegression{ServingImage: serve, Images: make([]string, len(f.columnByImage)), Weight: float32(f.weight), SumSquares: float32(f.sumSquares)}
	for image, c := range f.columnByImage {
		s.Images[c] = image
	}
	for i, row := range f.products {
		s.Targets = append(s.Targets, float32(f.targets[i]))
		// The matrix is symmetric, so the lower half is enough.
		short := make([]float32, i+1)
		for j := range short {
			short[j] = float32(row[j])
		}
		s.Products = append(s.Products, short)
	}
	return s
}

// Decode reads the stored form.
func Decode(data []byte) (*Model, error) {
	var stored storedModel
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode learned pressures: %w", err)
	}
	m := NewModel()
	m.loads.prior = harmonic{mean: float64(stored.Mean), c: float64(stored.Amplitude)}
	for i, p := range periods {
		if p <= time.Duration(stored.PeriodMS)*time.Millisecond {
			m.loads.period = i
		}
	}
	for _, s := range stored.Regressions {
		f, err := s.regression()
		if err != nil {
			return nil, fmt.Errorf("learned pressures on %s: %w", s.ServingImage, err)
		}
		m.regressions[s.ServingImage] = f
	}
	return m, nil
}

func (s *storedRegression) regression() (*regression, error) {
	size := len(s.Images)
	if len(s.Products) != size || len(s.Targets) != size {
		return nil, fmt.Errorf("%d images, %d rows and %d targets do not fit", size, len(s.Products), len(s.Targets))
	}
	f := newRegression()
	for _, image := range s.Images {
		f.column(image)
	}
	f.weight, f.sumSquares = float64(s.Weight), float64(s.SumSquares)
	for i, row := range s.Products {
		if len(row) != i+1 {
			return nil, fmt.Errorf("row %d has %d columns", i, len(row))
		}
		f.targets[i] = float64(s.Targets[i])
		for j, v := range row {
			f.products[i][j], f.products[j][i] = float64(v), float64(v)
		}
	}
	f.solve()
	return f, nil
}
