package jobview

import "github.com/basilferry/basilferry/core/job"

// Kind is the kind of a stored record. It is the first byte of the key.
type Kind byte

// Kinds of records. The accepting nodes write job and cancel records. The owner
// writes all others and deletes the records of expired jobs.
const (
	// KindOwner: a claim, renewal or release of ownership.
	KindOwner Kind = 'o'
	// KindOwnerShare: the CPU share of the owner.
	KindOwnerShare Kind = 'p'
	// KindJob: a job was accepted.
	KindJob Kind = 'j'
	// KindCancel: a client cancelled a job, which may not have been accepted yet.
	KindCancel Kind = 'c'
	// KindState: the state of a job's tasks. Only an owner needs it.
	KindState Kind = 's'
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
)

// Key returns the key of a job's record.
func Key(kind Kind, id job.ID) string { return string(kind) + string(id) }

// OwnerKey is the key of the ownership records.
const OwnerKey = string(KindOwner)

// OwnerShareKey is the key of the records of the owner's CPU share.
const OwnerShareKey = string(KindOwnerShare)

// InterferenceModelKey is the key of the records of the interference model.
const InterferenceModelKey = string(KindInterferenceModel)

// LeaseBoundsKey is the key of the records of the workers that get no lease.
const LeaseBoundsKey = string(KindLeaseBounds)

// ParseKey splits a key into kind and job id; ok is false if the key is not one
// of this package.
func ParseKey(key string) (kind Kind, id job.ID, ok bool) {
	if key == "" {
		return 0, "", false
	}
	kind, id = Kind(key[0]), job.ID(key[1:])
	switch kind {
	case KindOwner, KindOwnerShare, KindInterferenceModel, KindLeaseBounds:
		return kind, "", id == ""
	case KindJob, KindCancel, KindState, KindStatus:
		return kind, id, id.Valid()
	}
	return 0, "", false
}
