package jobview

import "github.com/basilferry/basilferry/core/job"

// Kind is the kind of a stored record, the first byte of its key.
type Kind byte

// Kinds of records. Requests are written by the accepting nodes, states by
// the owner.
const (
	// KindOwner: ownership of the scheduling.
	KindOwner Kind = 'o'
	// KindJob: a job was accepted.
	KindJob Kind = 'j'
	// KindCancel: a caller cancelled a job.
	KindCancel Kind = 'c'
	// KindState: the state of a job's tasks.
	KindState Kind = 's'
	// KindInterferenceModel: what the owner has learned of images that share workers.
	KindInterferenceModel Kind = 'l'
	// KindLeaseBounds: which workers get no lease from the owner.
	KindLeaseBounds Kind = 'b'
)

// Key returns the key of a job's record.
func Key(kind Kind, id job.ID) string { return string(kind) + string(id) }

// OwnerKey is the key of the ownership records.
const OwnerKey = string(KindOwner)

// InterferenceModelKey is the key of the record of what the owner has learned.
const InterferenceModelKey = string(KindInterferenceModel)

// LeaseBoundsKey is the key of the record of the workers that get no lease.
const LeaseBoundsKey = string(KindLeaseBounds)

// ParseKey splits a key; ok is false for a key that names nothing here.
func ParseKey(key string) (kind Kind, id job.ID, ok bool) {
	if key == "" {
		return 0, "", false
	}
	kind, id = Kind(key[0]), job.ID(key[1:])
	switch kind {
	case KindOwner, KindInterferenceModel, KindLeaseBounds:
		return kind, "", id == ""
	case KindJob, KindCancel, KindState:
		return kind, id, id.Valid()
	}
	return 0, "", false
}
