package burnreport

import (
	"time"

	"github.com/basilferry/basilferry/core/burn"
	"github.com/basilferry/basilferry/node/settings"
)

// Objectives returns the objectives of the settings.
func Objectives(goals []settings.SLO) []burn.Objective {
	list := make([]burn.Objective, len(goals))
	for i, g := range goals {
		list[i] = burn.Objective{Kind: g.Kind, Target: g.Target, Latency: time.Duration(g.Latency)}
	}
	return list
}
