package jobview

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"sync"
	"unique"

	"github.com/basilferry/basilferry/core/job"
	"github.com/basilferry/basilferry/core/ledger"
	"github.com/basilferry/basilferry/core/platform"
)

// entry is what is known about one job. The records stay encoded: a node that
// only answers clients needs no more than their first bytes. The records of a
// finished job are not kept.
type entry struct {
	// known is true if the acceptance record was read.
	known            bool
	acceptanceRecord []byte
	queue            string
	// account is the account of the job, empty for none. It is that of the first
	// acceptance record in the order of the offsets. accountOffset is the offset of this
	// record; -1 if it is unknown, because this node has written the record itself.
	account       unique.Handle[string]
	accountOffset int64
	stateRecord   []byte
	// parts are the newest records of the parts of a large job's state. The numbers stay
	// known when the job is finished, until the parts are deleted.
	parts map[int]partRecord
	// stateOffset is the offset of the newest state record that was applied, and
	// statusOffset that of the newest status record; -1 if there is none.
	stateOffset, statusOffset int64
	// summary is from the newest state record, status from the newest status record.
	// A status record follows the state record that it is taken from, so on a node
	// that reads both the summary is at least as new.
	summary, status ledger.Summary
	// cancelled is true if a cancel record was read, also one of a job that is not known.
	cancelled bool
	// reload is the reload in which, or after which, the acceptance record was last
	// applied, and cancelReload the same of the cancel record.
	reload, cancelReload int
}

// noAccount is the account of jobs that belong to none, and unreadableAccount that of jobs
// whose acceptance record cannot be decoded. No client has the latter.
var noAccount, unreadableAccount = unique.Make(""), unique.Make("\x00")

func newEntry() *entry {
	pending := ledger.Summary{State: job.StatePending}
	return &entry{account: noAccount, summary: pending, status: pending, accountOffset: -1, stateOffset: -1, statusOffset: -1}
}

// partRecord is a record of a part of a job's state. The value of a finished job is nil.
type partRecord struct {
	offset int64
	value  []byte
}

// newest returns the newest known summary of the job's state.
func (e *entry) newest() ledger.Summary {
	if e.stateOffset < 0 || stateRank(e.status.State) > stateRank(e.summary.State) {
		return e.status
	}
	return e.summary
}

// stateRank orders the states in the order in which a job goes through them.
func stateRank(s job.State) int {
	switch {
	case s.IsFinal():
		return 2
	case s == job.StateActive:
		return 1
	}
	return 0
}

// isFinished reports whether nothing is left to do for the job.
func (e *entry) isFinished() bool { return e.summary.Finished() || e.status.Finished() }

// isPending reports whether the job is open and none of its tasks is known to have begun.
func (e *entry) isPending() bool {
	return e.known && !e.cancelled && e.newest().State == job.StatePending
}

// View is the read model. It is safe for concurrent use.
type View struct {
	mu   sync.RWMutex
	jobs map[job.ID]*entry
	// pending counts the pending jobs of each queue; see isPending.
	pending map[string]int
	// interferenceModel is the newest record of the interference model.
	interferenceModel []byte
	// load is the newest record of the owner's backlog that was read as it was written; nil
	// if there is none. loadOffset is the offset of the newest one that was read at all.
	load       []byte
	loadOffset int64
	// reload is the number of reloads of the acceptance records that have started.
	// reloading is true while one is in progress.
	reload    int
	reloading bool
}

// New returns an empty read model.
func New() *View {
	return &View{jobs: map[job.ID]*entry{}, pending: map[string]int{}, loadOffset: -1}
}

// StartReload announces that the newest record of each key follows, because records were
// dropped before they were read. Those that delete a job may be among them.
func (v *View) StartReload() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reload++
	v.reloading = true
}

// FinishReload removes the jobs whose acceptance record was not applied since
// StartReload, and the cancellations of unknown jobs whose record was not. They no longer
// exist. It does nothing if no reload is in progress.
func (v *View) FinishReload() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.reloading {
		return
	}
	v.reloading = false
	for id, e := range v.jobs {
		isCancelListed := e.cancelled && e.cancelReload == v.reload
		switch {
		case e.known && e.reload < v.reload:
			v.drop(KindJob, id, "")
			if isCancelListed {
				v.jobs[id] = newEntry()
				v.jobs[id].cancel(v.reload)
			}
		case e.cancelled && !isCancelListed:
			v.drop(KindCancel, id, "")
		}
	}
}

// Apply applies one record. Records may be applied repeatedly, and older ones
// again after newer ones, as long as the newest record of each key is applied
// last. A state record that is older than one already applied is ignored. A
// record that cannot be decoded causes an error and changes no job's state.
func (v *View) Apply(r platform.KeyedRecord) error {
	kind, id, ok := ParseKey(r.Key)
	if !ok || kind == KindOwner || kind == KindOwnerShare || kind == KindSettled || kind == KindLeaseBounds {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if kind == KindInterferenceModel {
		v.interferenceModel = r.Value
		return nil
	}
	if kind == KindLoad {
		v.applyLoad(r)
		return nil
	}
	if len(r.Value) == 0 {
		v.drop(kind, id, r.Key)
		return nil
	}
	e := v.jobs[id]
	if e == nil {
		e = newEntry()
		v.jobs[id] = e
	}
	before := e.isPending()
	switch kind {
	case KindJob:
		e.reload = v.reload
	case KindCancel:
		e.cancel(v.reload)
	}
	err := e.apply(kind, r)
	if after := e.isPending(); before != after {
		v.adjustPendingCount(e.queue, after)
	}
	return err
}

// applyLoad keeps the newest record of the backlog. One that is read in a reload can be of
// any age, and one that is read again is older than at its first reading.
func (v *View) applyLoad(r platform.KeyedRecord) {
	if r.Offset <= v.loadOffset {
		return
	}
	v.load, v.loadOffset = nil, r.Offset
	if !v.reloading {
		v.load = bytes.Clone(r.Value)
	}
}

// Load returns the newest record of the owner's backlog and its offset. The record is nil if
// there is none, or if its age is not known.
func (v *View) Load() (record []byte, offset int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.load, v.loadOffset
}

// adjustPendingCount adds a job to the number of pending jobs of its queue, or
// subtracts it.
func (v *View) adjustPendingCount(queue string, pending bool) {
	if pending {
		v.pending[queue]++
		return
	}
	v.pending[queue]--
	if v.pending[queue] == 0 {
		delete(v.pending, queue)
	}
}

// drop removes a job when its acceptance record is deleted, an unknown job when its cancel
// record is deleted, or a part of a job's state. A known job stays cancelled until it is
// removed.
func (v *View) drop(kind Kind, id job.ID, key string) {
	e := v.jobs[id]
	if e != nil && kind == KindStatePart {
		_, part, _ := parsePart(key[1:])
		delete(e.parts, part)
	}
	if e == nil || kind != KindJob && (kind != KindCancel || e.known) {
		return
	}
	if e.isPending() {
		v.adjustPendingCount(e.queue, false)
	}
	delete(v.jobs, id)
}

func (e *entry) cancel(reload int) { e.cancelled, e.cancelReload = true, reload }

func (e *entry) apply(kind Kind, r platform.KeyedRecord) error {
	switch kind {
	case KindJob:
		if e.known {
			// A repeated submission does not change the job.
			if r.Offset >= 0 && (e.accountOffset < 0 || r.Offset < e.accountOffset) {
				e.setAccount(r)
			}
			return nil
		}
		queue, err := ledger.DecodeQueueName(r.Value)
		if err != nil {
			return fmt.Errorf("record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		e.known, e.acceptanceRecord, e.queue = true, r.Value, queue
		e.setAccount(r)
	case KindState:
		summary, err := ledger.DecodeSummary(r.Value)
		if err != nil {
			return fmt.Errorf("record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		if r.Offset >= e.stateOffset {
			e.stateRecord, e.stateOffset, e.summary = r.Value, r.Offset, summary
		}
	case KindStatePart:
		e.applyPart(r)
	case KindStatus:
		status, err := ledger.DecodeSummary(r.Value)
		if err != nil {
			return fmt.Errorf("record %q at offset %d: %w", r.Key, r.Offset, err)
		}
		if r.Offset >= e.statusOffset {
			e.status, e.statusOffset = status, r.Offset
		}
	}
	if e.known && e.isFinished() {
		e.dropRecords()
	}
	return nil
}

// setAccount takes the account of the job from an acceptance record.
func (e *entry) setAccount(r platform.KeyedRecord) {
	e.account, e.accountOffset = unreadableAccount, r.Offset
	if name, err := ledger.DecodeAccount(r.Value); err == nil {
		e.account = unique.Make(name)
	}
}

// dropRecords drops the records of a finished job.
func (e *entry) dropRecords() {
	if e.acceptanceRecord != nil {
		for part, record := range e.parts {
			record.value = nil
			e.parts[part] = record
		}
	}
	e.acceptanceRecord, e.stateRecord = nil, nil
}

// applyPart applies a part of the job's state, unless a newer one has been applied. The
// value is copied, because it is a section of a whole response.
func (e *entry) applyPart(r platform.KeyedRecord) {
	_, part, _ := parsePart(r.Key[1:])
	if before, ok := e.parts[part]; ok && r.Offset < before.offset {
		return
	}
	if e.parts == nil {
		e.parts = map[int]partRecord{}
	}
	record := partRecord{offset: r.Offset}
	if !e.known || !e.isFinished() {
		record.value = bytes.Clone(r.Value)
	}
	e.parts[part] = record
}

// partValues returns the newest records of the parts.
func (e *entry) partValues() map[int][]byte {
	out := make(map[int][]byte, len(e.parts))
	for part, record := range e.parts {
		out[part] = record.value
	}
	return out
}

// Parts returns the numbers of the stored parts of a job's state, in unspecified order.
func (v *View) Parts(id job.ID) []int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.jobs[id]
	if e == nil {
		return nil
	}
	return slices.Collect(maps.Keys(e.parts))
}

// ChangesForClients reports whether a newer summary of a job needs a status record after
// the given one. A job stays active: an owner that stores a state may not have heard yet
// that a task has begun.
func ChangesForClients(before, newer ledger.Summary) bool {
	if before.State == job.StateActive && newer.State == job.StatePending {
		return false
	}
	return before.State != newer.State || before.Finished() != newer.Finished()
}

// State returns the state of a job as clients see it, and its queue; ok is
// false for an unknown job.
func (v *View) State(id job.ID) (state job.State, queue string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.jobs[id]
	if e == nil || !e.known {
		return "", "", false
	}
	state = e.newest().State
	if e.cancelled && !state.IsFinal() {
		state = job.StateCancelled
	}
	return state, e.queue, true
}

// Account returns the account of a job, which is empty for a job that belongs to none; ok
// is false for an unknown job.
func (v *View) Account(id job.ID) (account string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.jobs[id]
	if e == nil || !e.known {
		return "", false
	}
	return e.account.Value(), true
}

// IsCancelled reports whether the cancellation of a job was read, also if no such job is
// known.
func (v *View) IsCancelled(id job.ID) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e := v.jobs[id]
	return e != nil && e.cancelled
}

// PendingCount returns how many open jobs of a queue have no task that is known to have
// begun.
func (v *View) PendingCount(queue string) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.pending[queue]
}

// InterferenceModel returns the newest record of the interference model; nil if
// there is none.
func (v *View) InterferenceModel() []byte {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.interferenceModel
}

// Len returns the number of jobs with any record.
func (v *View) Len() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.jobs)
}

// Restored is the result of View.Restore.
type Restored struct {
	// Jobs is the table of the jobs for which something is left to do.
	Jobs *ledger.Ledger
	// StateOffsets holds the offset of the newest state of each job in Jobs that has one.
	StateOffsets map[job.ID]int64
	// Finished holds the states of the jobs for which nothing is left to do.
	Finished map[job.ID]job.State
	// Cancelled lists the jobs in Jobs that were cancelled but whose stored state
	// does not show it yet, and the cancelled jobs whose acceptance was not read.
	Cancelled []job.ID
	// Unshown holds the status records to write: those of jobs whose stored state
	// differs from what the status records show.
	Unshown []platform.KeyedRecord
	// Unreadable has an error for each job whose records cannot be decoded. Such
	// a job is in no other field.
	Unreadable map[job.ID]error
}

// Restore returns the jobs that the records describe. It does not decode
// finished jobs: most jobs are finished, and decoding them all would take a new
// owner with a small share of a core several seconds.
func (v *View) Restore() Restored {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := Restored{Jobs: ledger.New(), StateOffsets: map[job.ID]int64{}, Finished: map[job.ID]job.State{}, Unreadable: map[job.ID]error{}}
	for id, e := range v.jobs {
		if !e.known {
			if e.cancelled {
				out.Cancelled = append(out.Cancelled, id)
			}
			continue
		}
		if e.stateOffset >= 0 && ChangesForClients(e.status, e.summary) {
			out.Unshown = append(out.Unshown, platform.KeyedRecord{Key: Key(KindStatus, id), Value: e.summary.Record()})
		}
		if e.isFinished() {
			out.Finished[id] = e.newest().State
			continue
		}
		j, err := ledger.DecodeJob(e.acceptanceRecord)
		if err == nil {
			err = out.Jobs.RestoreParts(j, e.stateRecord, e.partValues())
		}
		if err != nil {
			out.Unreadable[id] = err
			continue
		}
		if e.newest().State == job.StateActive {
			out.Jobs.Begin(id)
		}
		if e.stateOffset >= 0 {
			out.StateOffsets[id] = e.stateOffset
		}
		if e.cancelled && !e.summary.State.IsFinal() {
			out.Cancelled = append(out.Cancelled, id)
		}
	}
	return out
}
