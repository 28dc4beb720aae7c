package burnreport

import (
	"encoding/json"
	"encoding/xml"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/node/settings"
)

func sampleReport() burn.Report {
	at := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	r := burn.NewRecorder([]burn.Objective{{Kind: domain.KindUrgent, Target: 0.9, Latency: time.Second}, {Kind: domain.KindWatch, Target: 0.5}})
	r.Record(at, domain.KindUrgent, burn.Bad)
	r.Record(at, domain.KindUrgent, burn.Good)
	return burn.Evaluate(r.Snapshot(at))
}

func requestReport(query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	Handler(sampleReport).ServeHTTP(w, httptest.NewRequest("GET", "/v1/burn"+query, nil))
	return w
}

// Guards against values that differ between the formats. One bad event of two with
// an error budget of 0.1 is a burn rate of 5.
func TestFormatsAgree(t *testing.T) {
	var report burn.Report
	assert.NilError(t, json.Unmarshal(requestReport("").Body.Bytes(), &report))
	assert.DeepEqual(t, report, sampleReport())
	table := strings.Split(requestReport("?format=table").Body.String(), "\n")
	assert.DeepEqual(t, strings.Fields(table[2]), strings.Fields("urgent 90% within 1s 5.00 5.00 5.00 5.00 1/2 none"))
	assert.DeepEqual(t, strings.Fields(table[3]), strings.Fields("watch 50% - - - - 0/0 none"))
	assert.Equal(t, requestReport("?format=pdf").Code, 400)
}

// Guards against objectives that differ from the settings or are shown with
// rounding errors.
func TestObjectivesMatchSettings(t *testing.T) {
	got := Objectives([]settings.SLO{{Kind: domain.KindBatch, Target: 0.99990, Latency: settings.Duration(time.Minute)}})
	assert.DeepEqual(t, got, []burn.Objective{{Kind: domain.KindBatch, Target: 0.9999, Latency: time.Minute}})
	assert.Equal(t, formatObjective(got[0]), "99.99% within 1m0s")
	assert.Equal(t, formatObjective(burn.Objective{Target: 0.57}), "57%")
}

// Guards against a page that loads external resources, and against a plot that is
// not valid SVG or exceeds its frame.
func TestPageIsSelfContained(t *testing.T) {
	html := requestReport("?format=html").Body.String()
	for _, external := range []string{"http:", "https:", "src=", "href=", "<script"} {
		assert.Assert(t, !strings.Contains(html, external), external)
	}
	plots := regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(html, -1)
	assert.Equal(t, len(plots), 2)
	var svg struct {
		Polyline struct {
			Points string `xml:"points,attr"`
		} `xml:"polyline"`
	}
	assert.NilError(t, xml.Unmarshal([]byte(plots[0]), &svg))
	points := strings.Fields(svg.Polyline.Points)
	assert.Equal(t, len(points), 72)
	assert.Equal(t, points[0], "0.0,120.0")
	// A rate of 5 of 16 on a height of 120 is 82.5 below the top.
	assert.Equal(t, points[71], "720.0,82.5")
	assert.Assert(t, cmp.Contains(html, "90% within 1s"))
}
