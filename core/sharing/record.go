package sharing

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// storedModel is the stored form of a model. It leaves out the phases of the
// loads: a new owner learns them within two seconds, and the clocks of two
// owners differ.
type storedModel struct {
	_               struct{} `cbor:",toarray"`
	PeriodMS        int64
	Mean, Amplitude float32
	Regressions     []storedRegression
}

// storedRegression is the stored form of a regression. Numbers have single
// precision, which halves the size of the record.
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
// learn it again.
func (m *Model) Encode() ([]byte, error) {
	l := m.Load()
	out := storedModel{PeriodMS: l.Period.Milliseconds(), Mean: float32(l.Mean), Amplitude: float32(l.Amplitude)}
	for servingImage, r := range m.regressions {
		out.Regressions = append(out.Regressions, r.stored(servingImage))
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode the interference model: %w", err)
	}
	return data, nil
}

func (r *regression) stored(servingImage string) storedRegression {
	s := storedRegression{
		ServingImage: servingImage, Images: make([]string, len(r.columnByImage)),
		Weight: float32(r.weight), SumSquares: float32(r.sumSquares),
	}
	for image, c := range r.columnByImage {
		s.Images[c] = image
	}
	for i, row := range r.products {
		s.Targets = append(s.Targets, float32(r.targets[i]))
		// The matrix is symmetric, so the lower triangle is enough.
		lower := make([]float32, i+1)
		for j := range lower {
			lower[j] = float32(row[j])
		}
		s.Products = append(s.Products, lower)
	}
	return s
}

// Decode returns the model with the given stored form.
func Decode(data []byte) (*Model, error) {
	var stored storedModel
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode the interference model: %w", err)
	}
	if !areFinite(stored.Mean, stored.Amplitude) {
		return nil, fmt.Errorf("decode the interference model: the load is not a number")
	}
	m := NewModel()
	m.loads.prior = harmonic{mean: float64(stored.Mean), c: float64(stored.Amplitude)}
	for i, p := range periods {
		if p <= time.Duration(stored.PeriodMS)*time.Millisecond {
			m.loads.period = i
		}
	}
	for _, s := range stored.Regressions {
		r, err := s.regression()
		if err != nil {
			return nil, fmt.Errorf("decode the regression for serving image %s: %w", s.ServingImage, err)
		}
		m.regressions[s.ServingImage] = r
	}
	return m, nil
}

func (s *storedRegression) regression() (*regression, error) {
	size := len(s.Images)
	if len(s.Products) != size || len(s.Targets) != size {
		return nil, fmt.Errorf("%d images but %d rows and %d targets", size, len(s.Products), len(s.Targets))
	}
	r := newRegression()
	for i, image := range s.Images {
		if r.column(image) != i {
			return nil, fmt.Errorf("image %s is listed twice", image)
		}
	}
	if !areFinite(s.Weight, s.SumSquares) || !areFinite(s.Targets...) {
		return nil, errors.New("a sum is not a number")
	}
	r.weight, r.sumSquares = float64(s.Weight), float64(s.SumSquares)
	for i, row := range s.Products {
		if len(row) != i+1 {
			return nil, fmt.Errorf("row %d of the triangular matrix has %d columns", i, len(row))
		}
		if !areFinite(row...) {
			return nil, errors.New("a sum is not a number")
		}
		r.targets[i] = float64(s.Targets[i])
		for j, v := range row {
			r.products[i][j], r.products[j][i] = float64(v), float64(v)
		}
	}
	r.solve()
	return r, nil
}

func areFinite(values ...float32) bool {
	for _, v := range values {
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
			return false
		}
	}
	return true
}
