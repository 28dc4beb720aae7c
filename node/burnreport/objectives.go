package burnreport

import (
	"time"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/node/settings"
)

// Objectives converts the service-level objectives of the settings.
func Objectives(slos []settings.SLO) []burn.Objective {
	list := make([]burn.Objective, len(slos))
	for i, g := range slos {
		list[i] = burn.Objective{Kind: g.Kind, Target: g.Target, Latency: time.Duration(g.Latency)}
	}
	return list
}
