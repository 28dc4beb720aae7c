package guard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/basilferry/basilferry/core/domain"
)

// Guards against a panic that ends the process, that is not logged, or that is not
// counted.
func TestPanicIsConfinedLoggedAndCounted(t *testing.T) {
	var out bytes.Buffer
	counted := int64(0)
	g := New(slog.New(slog.NewJSONHandler(&out, nil)), func(n int64) { counted += n })
	err := g.Do("apply record", func() { panic(strings.Repeat("x", 10)) }, "key", "j1")
	assert.Equal(t, domain.KindOf(err), domain.KindInternal)
	assert.Equal(t, g.Panics(), int64(1))
	assert.Equal(t, counted, int64(1))
	assert.Assert(t, strings.Contains(out.String(), `"key":"j1"`) && strings.Contains(out.String(), "xxxxxxxxxx"), out.String())
	assert.Assert(t, out.Len() < 3*maxStackBytes)
	assert.NilError(t, g.Do("fine", func() {}))
	assert.Equal(t, g.Panics(), int64(1))
}

// Guards against a component without a guard that a panic ends.
func TestNilGuardConfines(t *testing.T) {
	var g *Guard
	assert.Equal(t, domain.KindOf(g.Do("x", func() { panic(1) })), domain.KindInternal)
	assert.Equal(t, g.Panics(), int64(0))
}
