package jobview

import (
	"strconv"
	"strings"

	"github.com/basilferry/basilferry/core/job"
)

// Kind is the kind of a stored record. It is the first byte of the key.
type Kind byte

// Kinds of records. The accepting nodes write job and cancel records. The owner
// writes all others and deletes the records of expired jobs.
const (
	// KindOwner: a claim, renewal or release of ownership.
	KindOwner Kind = 'o'
	// KindOwnerShare: the CPU share of the owner.
	KindOwnerShare Kind = 'p'
	// KindSettled: the offset in the states before which all starts are settled.
	KindSettled Kind = 'd'
	// KindJob: a job was accepted.
	KindJob Kind = 'j'
	// KindCancel: a client cancelled a job, which may not have been accepted yet.
	KindCancel Kind = 'c'
	// KindState: the state of a job's tasks. Only an owner needs it.
	KindState Kind = 's'
	// KindStatePart: the state of some tasks of a large job, whose KindState record has
	// only what concerns the whole job.
	KindStatePart Kind = 'u'
	// KindStatus: the part of a job's state that answers clients. It is written to the
	// requests partition after the state is stored, and only when it has changed, so
	// that nodes need not read every state.
	KindStatus Kind = 't'
	// KindInterferenceModel: the model that the owner has learned of the
	// interference between colocated images.
	KindInterferenceModel Kind = 'l'
	// KindLeaseBounds: the workers that get no lease from the owner, and how long
	// their last leases can still be valid.
	KindLeaseBounds Kind = 'b'
	// KindLoad: the owner's backlog (package backlog), from which the nodes decide whether
	// they refuse new jobs.
	KindLoad Kind = 'w'
)

// Key returns the key of a job's record.
func Key(kind Kind, id job.ID) string { return string(kind) + string(id) }

// partSeparator stands between the job id and the number in the key of a part.
const partSeparator = "."

// PartKey returns the key of a part of a job's state.
func PartKey(id job.ID, part int) string {
	return Key(KindStatePart, id) + partSeparator + strconv.Itoa(part)
}

// parsePart splits the key of a part, without its kind, into the job and the number.
func parsePart(key string) (id job.ID, part int, ok bool) {
	name, number, _ := strings.Cut(key, partSeparator)
	part, err := strconv.Atoi(number)
	id = job.ID(name)
	return id, part, err == nil && part > 0 && id.Valid()
}

// OwnerKey is the key of the ownership records.
const OwnerKey = string(KindOwner)

// OwnerShareKey is the key of the records of the owner's CPU share.
const OwnerShareKey = string(KindOwnerShare)

// SettledKey is the key of the records of the settled offset.
const SettledKey = string(KindSettled)

// InterferenceModelKey is the key of the records of the interference model.
const InterferenceModelKey = string(KindInterferenceModel)

// LeaseBoundsKey is the key of the records of the workers that get no lease.
const LeaseBoundsKey = string(KindLeaseBounds)

// LoadKey is the key of the records of the owner's backlog.
const LoadKey = string(KindLoad)

// ParseKey splits a key into kind and job id; ok is false if the key is not one
// of this package.
func ParseKey(key string) (kind Kind, id job.ID, ok bool) {
	if key == "" {
		return 0, "", false
	}
	kind, id = Kind(key[0]), job.ID(key[1:])
	switch kind {
	case KindOwner, KindOwnerShare, KindSettled, KindInterferenceModel, KindLeaseBounds, KindLoad:
		return kind, "", id == ""
	case KindStatePart:
		id, _, ok = parsePart(key[1:])
		return kind, id, ok
	case KindJob, KindCancel, KindState, KindStatus:
		return kind, id, id.Valid()
	}
	return 0, "", false
}
