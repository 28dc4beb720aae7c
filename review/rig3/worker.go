package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Worker is a stand-in of a worker, as PROTOCOL.md describes it.
type Worker struct {
	world *World
	store *Store
	ID    string
	Zone  string
	Kind  string
	Rack  string
	// StopTakes is the longest time that a stop takes.
	StopTakes time.Duration
	CPU       int
	MemMB     int
	// HoldMax is the longest lease that the worker grants.
	HoldMax time.Duration
	address string

	server *http.Server
	up     bool
	cut    bool // calls get no answer and nothing is done; the worker does not reach the store
	mute   bool // calls are carried out and not answered
	born   time.Time
	clock0 time.Duration
	token  int64
	lease  time.Duration
	runs   map[string]*run
	highs  map[string]int // the highest run that was stopped or has ended
	ends   []ending
	nextN  int64
	draining,
	gone bool
	changed chan struct{}
	late    bool // calls are carried out 2 to 12 s later, and not answered
	busy    sync.Mutex
}

type run struct {
	worker     *Worker
	task       string
	number     int
	cpu, mem   int
	began      time.Time
	takes      time.Duration // 0 for a task that lasts
	fails      bool
	group      string // of a gang member
	stopping   bool
	stopAt     time.Time
	serving    bool
	checkpoint string
	saves      bool
	fills      bool
	pace       int
	worked     time.Duration
	settled    time.Time
}

type ending struct {
	n          int64
	task       string
	run        int
	how, saved string
	lapsed     bool
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	// The others have names of the platform.
	Until, Token, Seen int64 `json:"-"`
}

func decodeOrder(body []byte) (order, error) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		return o, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return o, err
	}
	for name, target := range map[string]*int64{"until": &o.Until, "token": &o.Token, "seen": &o.Seen} {
		if value, ok := fields[names[name]]; ok {
			if err := json.Unmarshal(value, target); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

func (w *World) addWorker(s *Store, zone, kind, rack string, cpu, mem int, holdMax time.Duration) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &Worker{
		world: w, store: s, ID: fmt.Sprintf("i-%08x", rand.Uint32()), Zone: zone, Kind: kind, Rack: rack, StopTakes: stopGrace, CPU: cpu, MemMB: mem,
		HoldMax: holdMax, address: l.Addr().String(),
	}
	w.mu.Lock()
	wk.start(l)
	w.workers = append(w.workers, wk)
	w.mu.Unlock()
	go wk.register()
	return wk, nil
}

// start starts an incarnation. The caller holds the lock.
func (k *Worker) start(l net.Listener) {
	k.up, k.born, k.clock0 = true, time.Now(), rand.N(time.Hour)
	k.token, k.lease, k.nextN = 0, 0, 1
	k.runs, k.highs, k.ends, k.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["start"], k.serve(k.runStart))
	mux.HandleFunc("POST /run-stop", k.serve(k.runStop))
	mux.HandleFunc("POST /hold", k.serve(k.hold))
	mux.HandleFunc("POST /pace", k.serve(k.runPace))
	k.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(k.server)
	k.world.log("worker %s starts (born %d)", k.ID, k.born.UnixMilli())
}

// crash ends the incarnation: everything that it ran is gone.
func (k *Worker) crash() {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.world.log("worker %s crashes", k.ID)
	k.up = false
	_ = k.server.Close()
	for _, r := range k.runs {
		delete(k.world.taskHistory(r.task).running, k.ID)
		k.leaveGang(r)
	}
	k.runs = map[string]*run{}
}

// restart starts another incarnation at the same address.
func (k *Worker) restart() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	k.start(l)
	return nil
}

func (k *Worker) register() {
	for seq := 1; ; seq++ {
		k.world.mu.Lock()
		ok := k.up && !k.cut && !k.gone
		entry, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": k.address, "zone": k.Zone, "version": "v1", "slots": 8, "state": k.state(), "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": k.CPU, "mem_mb": k.MemMB, "gpu": 0}, "labels": []string{k.Kind, k.Rack},
			"clock_ms": k.clock().Milliseconds(), "seq_no": seq, "born": k.born.UnixMilli(),
		})
		k.world.mu.Unlock()
		if ok {
			k.store.put(registryTopic, k.ID, entry)
		}
		time.Sleep(heartbeatEvery)
	}
}

func (k *Worker) state() string {
	if k.draining {
		return "draining"
	}
	return "ready"
}

func (k *Worker) clock() time.Duration { return k.clock0 + time.Since(k.born) }

func (k *Worker) answer() map[string]any {
	out := map[string]any{"clock_ms": k.clock().Milliseconds(), "born": k.born.UnixMilli()}
	if k.draining {
		out["remaining_ms"] = 2000
	}
	return out
}

func (k *Worker) refusal(reason string) (int, map[string]any) {
	out := k.answer()
	out["reason"] = reason
	return http.StatusConflict, out
}

func (k *Worker) serve(carryOut func(order, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		o, err := decodeOrder(body)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		k.world.mu.Lock()
		if k.cut {
			k.world.mu.Unlock()
			<-r.Context().Done()
			return
		}
		born := k.born
		if k.late && rand.N(2) == 0 {
			k.world.mu.Unlock()
			time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
				k.world.mu.Lock()
				defer k.world.mu.Unlock()
				if k.up && k.born == born {
					k.handle(o, r, carryOut)
				}
			})
			<-r.Context().Done()
			return
		}
		status, answer := k.handle(o, r, carryOut)
		silent := k.mute || k.cut || k.born != born || !k.up
		k.world.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		writeJSON(rw, status, answer)
	}
}

func (k *Worker) handle(o order, r *http.Request, carryOut func(order, *http.Request) (int, map[string]any)) (int, map[string]any) {
	if id := r.Header.Get(names["instance"]); id != "" && id != k.ID {
		return http.StatusMisdirectedRequest, k.answer()
	}
	k.expireLease()
	if o.Token < k.token {
		return k.refusal("fence")
	}
	k.token = o.Token
	return carryOut(o, r)
}

func (k *Worker) extendLease(until int64) {
	end := min(time.Duration(until)*time.Millisecond, k.clock()+k.HoldMax)
	k.lease = max(k.lease, end)
}

func (k *Worker) expireLease() {
	if !k.up || k.clock() <= k.lease {
		return
	}
	for _, r := range k.runs {
		k.end(r, "lapsed")
	}
	for i := range k.ends {
		k.ends[i].lapsed = true
	}
}

func (k *Worker) runStart(o order, _ *http.Request) (int, map[string]any) {
	current := k.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return 200, k.answer()
	case o.Run <= k.highs[o.Task], current != nil && current.number > o.Run:
		k.extendLease(o.Until)
		return k.refusal("old")
	case time.Duration(o.Until)*time.Millisecond <= k.clock():
		return k.refusal("late")
	}
	k.extendLease(o.Until)
	name, _ := parseTask(o.Task)
	j := k.world.jobs[name.job]
	cpu, mem := 0, 0
	if j != nil && name.step < len(j.Steps) {
		cpu, mem = j.Steps[name.step].CPU, j.Steps[name.step].MemMB
		if j.Steps[name.step].Fills {
			cpu = 0
		}
	}
	needCPU, needMem := cpu, mem
	for _, r := range k.runs {
		cpu += r.cpu
		mem += r.mem
	}
	if cpu > k.CPU || mem > k.MemMB || current != nil {
		k.world.log("worker %s refuses %s run %d: room", k.ID, o.Task, o.Run)
		return k.refusal("room")
	}
	k.world.checkStart(k, o.Task, o.Run, o.Spec, o.Checkpoint)
	r := &run{worker: k, task: o.Task, number: o.Run, cpu: needCPU, mem: needMem, began: time.Now(), checkpoint: o.Checkpoint, pace: 100}
	if j != nil && name.step < len(j.Steps) {
		step := j.Steps[name.step]
		r.serving, r.saves, r.fills = step.TargetMS > 0, step.SavesProgress, step.Fills
		if !step.LongRunning {
			r.takes = j.Takes[name.step]
		}
		r.fails = j.Fails != nil && j.Fails(o.Run)
		if step.Gang {
			r.group = fmt.Sprintf("%s.%d.%d/%d", name.job, name.k, name.step, o.Run)
			g := k.world.gangs[r.group]
			if g == nil {
				g = &gang{members: map[string]*run{}}
				k.world.gangs[r.group] = g
			}
			g.members[o.Task] = r
			if len(g.members) == step.Count && g.began.IsZero() {
				g.began = time.Now()
			}
		}
	}
	k.runs[o.Task] = r
	k.world.taskHistory(o.Task).running[k.ID] = o.Run
	k.world.log("start %s run %d on %s", o.Task, o.Run, k.ID)
	return 200, k.answer()
}

func (k *Worker) runStop(o order, _ *http.Request) (int, map[string]any) {
	k.highs[o.Task] = max(k.highs[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping, r.stopAt = true, time.Now().Add(rand.N(k.StopTakes))
		k.world.log("stop %s run %d on %s", o.Task, o.Run, k.ID)
	}
	return 200, k.answer()
}

func (k *Worker) runPace(o order, _ *http.Request) (int, map[string]any) {
	if r := k.runs[o.Task]; r != nil && r.number == o.Run {
		r.settle(time.Now())
		r.pace = o.Percent
		k.world.log("pace %s run %d on %s: %d", o.Task, o.Run, k.ID, o.Percent)
	}
	return 200, k.answer()
}

// settle adds the work that was done at the run's pace since it was last settled.
func (r *run) settle(now time.Time) {
	began := r.began
	if r.group != "" {
		began = r.worker.world.gangs[r.group].began
	}
	if began.IsZero() {
		return
	}
	if r.settled.Before(began) {
		r.settled = began
	}
	r.worked += now.Sub(r.settled) * time.Duration(r.pace) / 100
	r.settled = now
}

func (k *Worker) hold(o order, r *http.Request) (int, map[string]any) {
	if o.Until > 0 {
		k.extendLease(o.Until)
	}
	kept := k.ends[:0:0]
	for _, e := range k.ends {
		if e.n > o.Seen {
			kept = append(kept, e)
			continue
		}
		h := k.world.taskHistory(e.task)
		if !e.lapsed && e.how == "done" {
			h.doneNoted = true
		}
		if !e.lapsed && e.how == "failed" {
			h.failNoted++
		}
	}
	if len(kept) < len(k.ends) {
		k.world.log("worker %s forgets ends up to %d, keeps %d", k.ID, o.Seen, len(kept))
	}
	k.ends = kept
	deadline := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(k.ends) == 0; {
		changed := k.changed
		k.world.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		k.world.mu.Lock()
	}
	k.expireLease()
	answer := k.answer()
	running, finished := [][]any{}, [][]any{}
	for _, r := range k.runs {
		running = append(running, []any{r.task, r.number, r.saved(), r.percent(), r.observed()})
	}
	for _, e := range k.ends[:min(len(k.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	if len(k.ends) >= 500 {
		k.world.log("worker %s lists %d running and ends %d to %d of %d (asked for those after %d)", k.ID, len(running), k.ends[0].n, k.ends[len(finished)-1].n, len(k.ends), o.Seen)
	}
	answer["running"], answer["finished"] = running, finished
	return 200, answer
}

// saved returns the run's checkpoint: what it began with, and then the work done since.
func (r *run) saved() string {
	if !r.saves || r.percent() == 0 {
		return r.checkpoint
	}
	c := fmt.Sprintf("%s-%d-%d%s", r.task, r.number, r.percent(), r.worker.world.pad)
	r.worker.world.checkpoints[c] = true
	return c
}

func (r *run) observed() int {
	if r.serving {
		return r.worker.tail()
	}
	return r.cpu
}

// tail returns the tail latency of the serving tasks on the worker, in milliseconds.
func (k *Worker) tail() int {
	tail := k.world.tailMS
	for _, r := range k.runs {
		if r.fills && r.percent() > 0 {
			tail += k.world.pressMS * r.pace / 100
		}
	}
	return tail
}

func (r *run) percent() int {
	if r.group != "" && r.worker.world.gangs[r.group].began.IsZero() {
		return 0
	}
	if r.takes == 0 {
		return 100
	}
	r.settle(time.Now())
	return int(min(99, 100*r.worked/r.takes))
}

// end ends a run. The caller holds the lock.
func (k *Worker) end(r *run, how string) {
	delete(k.runs, r.task)
	h := k.world.taskHistory(r.task)
	delete(h.running, k.ID)
	if how == "done" {
		h.doneSeen = true
	}
	k.highs[r.task] = max(k.highs[r.task], r.number)
	k.ends = append(k.ends, ending{n: k.nextN, task: r.task, run: r.number, how: how, saved: r.saved()})
	k.world.endings[how]++
	k.world.log("end %s run %d on %s: %s (number %d)", r.task, r.number, k.ID, how, k.nextN)
	k.nextN++
	close(k.changed)
	k.changed = make(chan struct{})
	if how != "done" {
		k.leaveGang(r)
	}
}

// leaveGang ends the other members of a gang whose member has ended, and not as done.
func (k *Worker) leaveGang(r *run) {
	g := k.world.gangs[r.group]
	if r.group == "" || g == nil {
		return
	}
	delete(g.members, r.task)
	if g.began.IsZero() {
		return // The others wait, and end alone.
	}
	for _, other := range g.members {
		delete(g.members, other.task)
		if other.worker.runs[other.task] == other {
			other.worker.end(other, "broken")
		}
	}
}

// tick ends what is due. It runs until the process ends.
func (w *World) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		for _, k := range w.workers {
			if !k.up {
				continue
			}
			k.expireLease()
			for _, r := range k.runs {
				k.advance(r, now)
			}
		}
		w.mu.Unlock()
	}
}

func (k *Worker) advance(r *run, now time.Time) {
	if k.runs[r.task] != r {
		return
	}
	if r.group != "" {
		if k.world.gangs[r.group].began.IsZero() && !r.stopping {
			if now.Sub(r.began) > gangWait {
				k.end(r, "alone")
			}
			return
		}
	}
	r.settle(now)
	switch {
	case r.stopping:
		if now.After(r.stopAt) {
			k.end(r, "stopped")
		}
	case r.takes > 0 && r.worked >= r.takes:
		if r.fails {
			k.end(r, "failed")
		} else {
			k.end(r, "done")
		}
	}
}
