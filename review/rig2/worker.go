package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serviceName     = "loandesk"
	workerHeartbeat = 1500 * time.Millisecond
	leaseLimit      = 6 * time.Second
	stopTime        = 100 * time.Millisecond
	gangWait        = 3 * time.Second
	checkpointTime  = time.Second
	maxListedEnds   = 500
	workerCPU       = 32000
	workerMemoryMB  = 128000
)

// fleet is all workers of a script. Members of a gang see each other through it.
type fleet struct {
	record  *recorder
	store   *store
	mu      sync.Mutex // guards all workers
	workers []*worker
	// While quiet, what happens to tasks is not recorded, and what happens to those of
	// quietJob never is: a large job would fill the record.
	quiet    bool
	quietJob string
}

// worker is one life of a worker.
type worker struct {
	fleet                   *fleet
	id, address, zone, rack string
	server                  *http.Server
	started                 time.Time
	gone                    bool
	token                   int64
	leaseEnd                time.Duration // on the worker's clock
	runs                    map[string]*run
	refused                 map[string]int // highest run number that was stopped or has ended, by task
	ends                    []endedRun
	nextEnd                 int64
	changed                 chan struct{}
	held                    time.Time // when the last hold was answered
}

type run struct {
	task       string
	number     int
	spec       taskSpec
	began      time.Time // when it works: for a gang, once all are there
	placed     time.Time
	working    bool
	stopping   bool
	stopAt     time.Time
	checkpoint string
	saves      int
}

type endedRun struct {
	number     int64
	task       string
	run        int
	how        string
	checkpoint string
	lapsed     bool // the lease has lapsed since the end
}

// taskSpec is what the spec of a job says about the tasks of a step: "MS,CPU,MEM,GANG,SAVES",
// one for each step, separated by bars. MS is 0 for a task that lasts, and GANG 0 for a
// task that is no member of one.
type taskSpec struct {
	takes    time.Duration
	cpu, mem int64
	gang     int
	saves    bool
}

func specText(steps ...taskSpec) string {
	var parts []string
	for _, s := range steps {
		saves := 0
		if s.saves {
			saves = 1
		}
		parts = append(parts, fmt.Sprintf("%d,%d,%d,%d,%d", s.takes.Milliseconds(), s.cpu, s.mem, s.gang, saves))
	}
	return strings.Join(parts, "|")
}

func parseSpec(spec, task string) taskSpec {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	var n [5]int64
	for i, field := range strings.Split(strings.Split(spec, "|")[step], ",") {
		n[i], _ = strconv.ParseInt(field, 10, 64)
	}
	index, _ := strconv.ParseInt(parts[3], 10, 64)
	takes := time.Duration(n[0]) * time.Millisecond
	if n[4] == 1 {
		// Tasks of one step take unequal times, from half the mean to one and a half of it.
		takes = takes/2 + takes*time.Duration(index*7919%1000)/1000
	}
	return taskSpec{takes: takes, cpu: n[1], mem: n[2], gang: int(n[3]), saves: n[4] == 1}
}

func newFleet(r *recorder, s *store) *fleet {
	f := &fleet{record: r, store: s}
	go f.tick()
	return f
}

func (f *fleet) add(zone, rack string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+len(f.workers)), address: l.Addr().String(), zone: zone, rack: rack, started: time.Now(),
		runs: map[string]*run{}, refused: map[string]int{}, nextEnd: 1, changed: make(chan struct{}),
	}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Start, w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.serve(w.hold))
	mux.HandleFunc("POST /pace", w.serve(func(order, *http.Request) (int, map[string]any) { return http.StatusOK, w.answer() }))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.register()
	return w, nil
}

// register writes the worker's registry entry at each heartbeat interval. The store removes
// it after three intervals of silence.
func (w *worker) register() {
	for seq := 1; ; seq++ {
		w.fleet.mu.Lock()
		gone := w.gone
		clock := w.clock()
		w.fleet.mu.Unlock()
		if gone {
			time.Sleep(2 * workerHeartbeat)
			w.fleet.store.put(names.RegistryTopic, w.id, nil)
			return
		}
		w.fleet.store.put(names.RegistryTopic, w.id, mustJSON(map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": workerCPU, "mem_mb": workerMemoryMB, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": clock.Milliseconds(), "seq_no": seq, "born": w.started.UnixMilli(),
		}))
		time.Sleep(workerHeartbeat)
	}
}

// crash ends the worker for good. A dark one doesn't even refuse connections.
func (w *worker) crash(dark bool) {
	w.fleet.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		w.fleet.record.add(w.id, "lost", r.task, r.number, "with its worker")
	}
	w.runs = map[string]*run{}
	w.fleet.mu.Unlock()
	if !dark {
		_ = w.server.Close()
	}
	w.fleet.record.add(w.id, "crash", "", 0, "rack %s, for good, dark %v", w.rack, dark)
}

func (w *worker) clock() time.Duration { return 5*time.Second + time.Since(w.started) }

// tick ends what is due on all workers.
func (f *fleet) tick() {
	for range time.Tick(5 * time.Millisecond) {
		f.mu.Lock()
		for _, w := range f.workers {
			w.advance()
		}
		f.mu.Unlock()
	}
}

func (w *worker) advance() {
	now := time.Now()
	if w.clock() > w.leaseEnd {
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	}
	for _, r := range w.runs {
		if r.working && r.spec.saves {
			if n := int(now.Sub(r.began) / checkpointTime); n > r.saves {
				r.saves = n
				r.checkpoint = fmt.Sprintf("%08x%08x", n, uint32(r.number)*2654435761)
			}
		}
		switch {
		case r.stopping && now.After(r.stopAt):
			w.end(r, "stopped")
		case r.stopping:
		case !r.working && now.Sub(r.placed) > gangWait:
			w.end(r, "alone")
		case r.working && r.spec.takes > 0 && now.Sub(r.began) >= r.spec.takes:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.refused[r.task] = max(w.refused[r.task], r.number)
	w.ends = append(w.ends, endedRun{number: w.nextEnd, task: r.task, run: r.number, how: how, checkpoint: r.checkpoint})
	w.nextEnd++
	w.log("end", r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) log(what, task string, number int, detail string) {
	if !w.fleet.quiet && (w.fleet.quietJob == "" || !strings.HasPrefix(task, w.fleet.quietJob)) {
		w.fleet.record.add(w.id, what, task, number, "%s", detail)
	}
}

func (w *worker) serve(carryOut func(order, *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, answer := w.handle(body, r, carryOut)
		if status == 0 {
			<-r.Context().Done()
			return
		}
		data := mustJSON(answer)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(data)
	}
}

func (w *worker) handle(body []byte, r *http.Request, carryOut func(order, *http.Request) (int, map[string]any)) (int, map[string]any) {
	o, err := decodeOrder(body)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.gone {
		return 0, nil
	}
	if err != nil {
		return http.StatusBadRequest, w.answer()
	}
	if id := r.Header.Get(names.InstanceHeader); id != "" && id != w.id {
		return http.StatusMisdirectedRequest, w.answer()
	}
	if o.Token < w.token {
		return http.StatusConflict, w.refusal("fence")
	}
	w.token = o.Token
	status, answer := carryOut(o, r)
	if w.gone {
		return 0, nil
	}
	return status, answer
}

func (w *worker) answer() map[string]any {
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.started.UnixMilli()}
}

func (w *worker) refusal(reason string) map[string]any {
	out := w.answer()
	out["reason"] = reason
	return out
}

func (w *worker) extendLease(untilMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(untilMS)*time.Millisecond, w.clock()+leaseLimit))
}

func (w *worker) start(o order, _ *http.Request) (int, map[string]any) {
	current := w.runs[o.Task]
	if current != nil && current.number == int(o.Run) {
		return http.StatusOK, w.answer()
	}
	if int(o.Run) <= w.refused[o.Task] || current != nil && current.number > int(o.Run) {
		w.extendLease(o.Until)
		return http.StatusConflict, w.refusal("old")
	}
	if time.Duration(o.Until)*time.Millisecond <= w.clock() {
		return http.StatusConflict, w.refusal("late")
	}
	w.extendLease(o.Until)
	spec := parseSpec(o.Spec, o.Task)
	cpu, mem := spec.cpu, spec.mem
	for _, r := range w.runs {
		cpu, mem = cpu+r.spec.cpu, mem+r.spec.mem
	}
	if cpu > workerCPU || mem > workerMemoryMB || current != nil {
		return http.StatusConflict, w.refusal("room")
	}
	now := time.Now()
	w.runs[o.Task] = &run{task: o.Task, number: int(o.Run), spec: spec, placed: now, began: now, working: spec.gang == 0, checkpoint: o.Checkpoint}
	w.log("start", o.Task, int(o.Run), "token "+strconv.FormatInt(o.Token, 10))
	if spec.gang > 0 {
		w.fleet.beginGang(o.Task, int(o.Run), spec.gang)
	}
	return http.StatusOK, w.answer()
}

// beginGang lets the members of a gang work once all are there.
func (f *fleet) beginGang(task string, number, size int) {
	step := task[:strings.LastIndex(task, ".")+1]
	var members []*run
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.number == number && strings.HasPrefix(r.task, step) {
				members = append(members, r)
			}
		}
	}
	if len(members) < size {
		return
	}
	for _, r := range members {
		r.working, r.began = true, time.Now()
	}
}

func (w *worker) stop(o order, _ *http.Request) (int, map[string]any) {
	w.refused[o.Task] = max(w.refused[o.Task], int(o.Run))
	if r := w.runs[o.Task]; r != nil && r.number <= int(o.Run) && !r.stopping {
		r.stopping, r.stopAt = true, time.Now().Add(stopTime)
		w.log("stop", o.Task, int(o.Run), "")
	}
	return http.StatusOK, w.answer()
}

// hold renews the lease, forgets the ends that the owner has read, and returns what runs
// and what has ended, if asked after waiting for an end.
func (w *worker) hold(o order, r *http.Request) (int, map[string]any) {
	if o.Until > 0 {
		w.extendLease(o.Until)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		switch {
		case e.number > o.Seen:
			kept = append(kept, e)
		case !e.lapsed:
			w.log("noted", e.task, e.run, e.how)
		}
	}
	w.ends = kept
	w.waitForEnd(time.Duration(o.WaitMS)*time.Millisecond, r)
	answer := w.answer()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.spec.takes > 0 {
			percent = int(min(99, 100*time.Since(r.began)/r.spec.takes))
		}
		if !r.working {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, r.checkpoint, percent, r.spec.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	answer["running"], answer["finished"] = running, finished
	w.held = time.Now()
	return http.StatusOK, answer
}

// waitForEnd releases the lock until there is an end to list, at most for the given time.
func (w *worker) waitForEnd(limit time.Duration, r *http.Request) {
	deadline := time.After(limit)
	for waiting := limit > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.fleet.mu.Lock()
	}
}
