package configlog

import (
	"crypto/sha256"
	"slices"

	"github.com/basilferry/basilferry/core/platform"
)

// maxSeenRecords is the maximum number of records whose decisions are kept to
// recognize repeats. A repeat of an older record is rejected because its base is
// an old version, so the bound never changes the configuration, only the
// decision that is reported for the repeat.
const maxSeenRecords = 4096

type fingerprint [sha256.Size]byte

// seenRecords keeps the decisions about records by id and content. The content
// is part of the key because a reader that starts later cannot know that the id
// was used before with other content, and would decide differently.
type seenRecords struct {
	decisions   map[fingerprint]Decision
	oldestFirst []fingerprint
}

func newSeenRecords() *seenRecords {
	return &seenRecords{decisions: make(map[fingerprint]Decision)}
}

func (r *seenRecords) lookup(rec platform.Record) (Decision, bool) {
	d, ok := r.decisions[fingerprintOf(rec)]
	return d, ok
}

func (r *seenRecords) add(rec platform.Record, d Decision) {
	key := fingerprintOf(rec)
	r.decisions[key] = d
	r.oldestFirst = append(r.oldestFirst, key)
	if len(r.oldestFirst) > maxSeenRecords {
		delete(r.decisions, r.oldestFirst[0])
		r.oldestFirst = r.oldestFirst[1:]
	}
}

func fingerprintOf(rec platform.Record) fingerprint {
	id := sha256.Sum256([]byte(rec.Type + "\x00" + rec.ID))
	return sha256.Sum256(append(id[:], rec.Data...))
}

// history keeps the newest decisions, in ascending order of their versions.
type history struct {
	limit     int
	decisions []Decision
}

func newHistory(limit int) *history { return &history{limit: limit} }

// put adds a decision or replaces the earlier one about the same record.
func (h *history) put(d Decision) {
	for i := len(h.decisions) - 1; i >= 0 && h.decisions[i].Version >= d.Version; i-- {
		if h.decisions[i].Version == d.Version {
			h.decisions[i] = d
			return
		}
	}
	h.decisions = append(h.decisions, d)
	if len(h.decisions) > h.limit {
		h.decisions = h.decisions[1:]
	}
}

// newest returns up to limit decisions, newest first.
func (h *history) newest(limit int) []Decision {
	limit = max(0, min(limit, len(h.decisions)))
	out := slices.Clone(h.decisions[len(h.decisions)-limit:])
	slices.Reverse(out)
	return out
}
