package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/platform"
)

// StreamOf returns the stream of a failure domain.
func StreamOf(d domain.FailureDomain) platform.Stream {
	return platform.Stream("domain-" + string(d))
}

// RecordType is the Type of a record that carries a Batch.
const RecordType = "journal"

// Claim makes a node the owner of a shard. The offset of its record becomes the
// epoch. A claim takes effect only if Previous is the epoch in force.
type Claim struct {
	Shard    domain.ShardID `json:"shard"`
	Node     domain.NodeID  `json:"node"`
	Previous domain.Epoch   `json:"previous"`
	// KeptEpoch is set when an owner appends its ownership again before the
	// record of its claim expires. It is the epoch that stays in force.
	KeptEpoch domain.Epoch `json:"kept,omitempty"`
}

// Release ends the ownership of a shard on a planned stop.
type Release struct {
	Shard domain.ShardID `json:"shard"`
	Epoch domain.Epoch   `json:"epoch"`
}

// Intent records that a non-idempotent urgent request may be started from now on.
// If the log service did not answer, the request may have been started before.
type Intent struct {
	ID domain.RequestID `json:"id"`
	// BodyHash is the xxhash64 of the task description. It serves to detect an
	// idempotency key that is reused for a different task.
	BodyHash uint64 `json:"body"`
}

// Job records that a batch task or watch was accepted and must not be lost.
type Job struct {
	Task       domain.Task `json:"task"`
	Attempt    int         `json:"attempt,omitempty"`
	Checkpoint string      `json:"checkpoint,omitempty"`
	// Moves counts the moves of the task between failure domains so far.
	Moves int `json:"moves,omitempty"`
}

// Finished records the final outcome of a job, or of a request that was answered
// "not run" or was cancelled.
type Finished struct {
	Outcome domain.Outcome `json:"outcome"`
}

// Moved records that a task belongs to a shard of another domain from now on.
type Moved struct {
	ID     domain.RequestID `json:"id"`
	Target domain.ShardID   `json:"target"`
	// Moves counts the moves of the task, this one included.
	Moves int `json:"moves"`
	// Job is set for batch tasks and watches, so that the move can be
	// repeated until the target has confirmed it.
	Job *Job `json:"job,omitempty"`
}

// MoveConfirmed records that the target of a move has confirmed it.
type MoveConfirmed struct {
	ID domain.RequestID `json:"id"`
	// Moves is the count of the confirmed move. A later move has a higher count
	// and needs its own confirmation.
	Moves int `json:"moves"`
}

// Entry is one entry of a domain's stream. Exactly one pointer field is set. An
// entry other than a claim takes effect only if Epoch is the epoch in force for
// Shard at its place in the stream, so that an owner that has been replaced can
// no longer write.
type Entry struct {
	Shard domain.ShardID `json:"shard"`
	Epoch domain.Epoch   `json:"epoch,omitempty"`
	// FirstAt is set only in a snapshot, which repeats earlier entries. For an
	// intent or an outcome it is the time of the record that the entry repeats,
	// for a job, a move or a confirmation it is noExpiryMark. A repeated claim has
	// none. A repeated job or move has no effect if the stream already has a job,
	// an outcome or a move with the same request id, because newer entries may be
	// appended after the snapshot is made and before it is appended.
	FirstAt time.Time `json:"first_at,omitzero"`

	Claim         *Claim         `json:"claim,omitempty"`
	Release       *Release       `json:"release,omitempty"`
	Intent        *Intent        `json:"intent,omitempty"`
	Job           *Job           `json:"job,omitempty"`
	Finished      *Finished      `json:"ended,omitempty"`
	Moved         *Moved         `json:"moved,omitempty"`
	MoveConfirmed *MoveConfirmed `json:"arrived,omitempty"`
}

// Batch is the data of one log record: entries that are committed together.
type Batch struct {
	Entries []Entry `json:"entries"`
}

// Encode returns a log record of the entries. id is the record id.
func Encode(id string, entries []Entry) (platform.Record, error) {
	data, err := json.Marshal(Batch{Entries: entries})
	if err != nil {
		return platform.Record{}, fmt.Errorf("encode journal batch: %w", err)
	}
	return platform.Record{ID: id, Type: RecordType, Data: data}, nil
}

// Decode returns the entries of a log record. It returns an error for a record
// of another type or with malformed data.
func Decode(rec platform.Record) ([]Entry, error) {
	if rec.Type != RecordType {
		return nil, fmt.Errorf("record %d has type %q, want %q", rec.Offset, rec.Type, RecordType)
	}
	var b Batch
	if err := json.Unmarshal(rec.Data, &b); err != nil {
		return nil, fmt.Errorf("decode journal record %d: %w", rec.Offset, err)
	}
	return b.Entries, nil
}
