package entry

import (
	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// evacuations are the failure domains that are taken out of service. The record
// that ends an evacuation can be lost with the history, so each reload of the newest
// records shows which evacuations are over.
type evacuations struct {
	// active contains each evacuated domain; the value is true if the domain has
	// been read since the start of the last reload.
	active    map[domain.FailureDomain]bool
	reloading bool
}

func (e *evacuations) startReload() {
	e.reloading = true
	for d := range e.active {
		e.active[d] = false
	}
}

func (e *evacuations) apply(change platform.OperatorChange) {
	if e.active == nil {
		e.active = map[domain.FailureDomain]bool{}
	}
	if change.Removed {
		delete(e.active, change.Evacuate)
		return
	}
	e.active[change.Evacuate] = true
}

// finishReload returns the domains that were not read since the start of the reload,
// or nothing if there was none.
func (e *evacuations) finishReload() []domain.FailureDomain {
	if !e.reloading {
		return nil
	}
	e.reloading = false
	var ended []domain.FailureDomain
	for d, isListed := range e.active {
		if !isListed {
			ended = append(ended, d)
		}
	}
	return ended
}
