package sharing

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// storedFit is the stored form of a fit. Numbers are of single precision, which
// halves the record.
type storedFit struct {
	_        struct{} `cbor:",toarray"`
	Serving  string
	Images   []string
	Products [][]float32
	Targets  []float32
	Squares  float32
	Floor    float32
}

// Encode returns the stored form of the model, so that a new owner need not
// learn again.
func (m *Model) Encode() ([]byte, error) {
	var out []storedFit
	for serve, f := range m.fits {
		out = append(out, f.stored(serve))
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode learned pressures: %w", err)
	}
	return data, nil
}

func (f *fit) stored(serve string) storedFit {
	s := storedFit{Serving: serve, Images: make([]string, len(f.index)), Squares: float32(f.squares), Floor: float32(f.floor)}
	for image, c := range f.index {
		s.Images[c-1] = image
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
	var stored []storedFit
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode learned pressures: %w", err)
	}
	m := NewModel()
	for _, s := range stored {
		f, err := s.fit()
		if err != nil {
			return nil, fmt.Errorf("learned pressures on %s: %w", s.Serving, err)
		}
		m.fits[s.Serving] = f
	}
	return m, nil
}

func (s *storedFit) fit() (*fit, error) {
	size := len(s.Images) + 1
	if len(s.Products) != size || len(s.Targets) != size {
		return nil, fmt.Errorf("%d images, %d rows and %d targets do not fit", len(s.Images), len(s.Products), len(s.Targets))
	}
	f := newFit()
	for _, image := range s.Images {
		f.column(image)
	}
	f.squares, f.floor = float64(s.Squares), float64(s.Floor)
	for i, row := range s.Products {
		if len(row) != i+1 {
			return nil, fmt.Errorf("row %d has %d columns", i, len(row))
		}
		f.targets[i] = float64(s.Targets[i])
		for j, v := range row {
			f.products[i][j], f.products[j][i] = float64(v), float64(v)
		}
	}
	if f.products[0][0] > 0 {
		f.solve()
	}
	return f, nil
}
