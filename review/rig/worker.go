package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of one worker, which runs as a process of its own. It writes
// what it runs to its standard output, one JSON object a line.
type worker struct {
	id, address, zone, service, storeAddress, rack string
	cpu, mem                                       int64
	label                                          string
	unhealthy                                      bool
	holdMax, stopGrace                             time.Duration
	born                                           int64
	started                                        time.Time

	mu       sync.Mutex
	token    int64
	leaseEnd time.Duration // on the worker's clock
	runs     map[string]*run
	ended    map[string]int // highest run number stopped or ended, by task
	finished []finish
	next     int64
	changed  chan struct{}
}

type run struct {
	task, checkpoint string
	number           int
	spec             spec
	began            time.Time
	stopping         bool
	stopAt           time.Time
	cpu, mem         int64
}

type finish struct {
	n         int64
	task      string
	run       int
	how, save string
}

// spec is what the text of a job tells the stand-in: how long the tasks of each step
// take, and what they need.
type spec struct {
	ms       []int
	cpu, mem int64
	fail     bool
	lasts    bool
	spread   bool // durations vary by half either way, by the name of the task
}

var specField = regexp.MustCompile(`(\w+)=([\w,]+)`)

func parseSpec(text string) spec {
	s := spec{ms: []int{500}, cpu: 1000, mem: 100}
	for _, m := range specField.FindAllStringSubmatch(text, -1) {
		switch m[1] {
		case "ms":
			s.ms = nil
			for _, part := range strings.Split(m[2], ",") {
				n, _ := strconv.Atoi(part)
				s.ms = append(s.ms, n)
			}
		case "cpu":
			s.cpu, _ = strconv.ParseInt(m[2], 10, 64)
		case "mem":
			s.mem, _ = strconv.ParseInt(m[2], 10, 64)
		case "fail":
			s.fail = true
		case "lasts":
			s.lasts = true
		case "spread":
			s.spread = true
		}
	}
	return s
}

func (s spec) duration(task string) time.Duration {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	d := time.Duration(s.ms[min(step, len(s.ms)-1)]) * time.Millisecond
	if !s.spread {
		return d
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return d/2 + d*time.Duration(h.Sum32()%1000)/1000
}

func workerMain(args []string) {
	w := &worker{runs: map[string]*run{}, ended: map[string]int{}, next: 1, changed: make(chan struct{}), started: time.Now(), born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.address, "address", "", "")
	f.StringVar(&w.zone, "zone", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.label, "label", "a", "")
	f.StringVar(&w.rack, "rack", "r1-1", "")
	f.StringVar(&w.storeAddress, "store", "", "")
	f.Int64Var(&w.cpu, "cpu", 32000, "")
	f.Int64Var(&w.mem, "mem", 128000, "")
	holdMax := f.Int("hold-max", 6000, "")
	stopTakes := f.Int("stop-takes", 400, "")
	_ = f.Parse(args)
	w.holdMax, w.stopGrace = time.Duration(*holdMax)*time.Millisecond, time.Duration(*stopTakes)*time.Millisecond
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["start"], w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.pace)
	// Ways to make the stand-in misbehave; the platform has none of them.
	mux.HandleFunc("POST /stand-in/unhealthy", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.unhealthy = r.URL.Query().Get("on") == "1"
		w.mu.Unlock()
	})
	mux.HandleFunc("POST /stand-in/fail", func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		for _, run := range w.runs {
			if run.spec.lasts {
				w.end(run, "failed")
			}
		}
		w.mu.Unlock()
	})
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.log("up", "", 0, w.label)
	go w.register()
	go w.tick()
	_ = http.Serve(l, mux)
}

func (w *worker) log(what, task string, number int, detail string) {
	line, _ := json.Marshal(event{At: time.Now().UnixNano(), Who: w.id, Born: w.born, What: what, Task: task, Run: number, Detail: detail})
	fmt.Println(string(line))
}

func (w *worker) clock() time.Duration { return time.Second + time.Since(w.started) }

func (w *worker) register() {
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{w.label, w.rack},
			"clock_ms": w.clock().Milliseconds(), "seq_no": seq, "born": w.born,
		})
		_, _, _ = post(w.storeAddress, names["append"]+"?topic="+names["registry_topic"]+"&part=0", "application/octet-stream", nil, encodeRecord(w.id, entry), time.Second)
		time.Sleep(1500 * time.Millisecond)
	}
}

// tick ends what is due.
func (w *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case w.clock() > w.leaseEnd:
				w.end(r, "lapsed")
			case r.stopping && now.After(r.stopAt):
				w.end(r, "stopped")
			case r.stopping || r.spec.lasts:
			case now.Sub(r.began) >= r.spec.duration(r.task) && r.spec.fail:
				w.end(r, "failed")
			case now.Sub(r.began) >= r.spec.duration(r.task):
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.number)
	w.finished = append(w.finished, finish{n: w.next, task: r.task, run: r.number, how: how})
	w.log("end", r.task, r.number, how+" n="+strconv.FormatInt(w.next, 10))
	w.next++
	close(w.changed)
	w.changed = make(chan struct{})
}

// accept decodes an order and checks its instance and token. The caller holds no lock;
// accept returns with the lock held if it returns true.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.log("malformed", r.URL.Path, 0, err.Error())
		answer(rw, 400, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return o, false
	}
	if id := r.Header.Get(names["instance_header"]); id != "" && id != w.id {
		answer(rw, 421, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return o, false
	}
	w.mu.Lock()
	if o.Token < w.token {
		w.mu.Unlock()
		answer(rw, 409, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": "fence"})
		return o, false
	}
	w.token = o.Token
	return o, true
}

func (w *worker) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, w.clock()+w.holdMax)
	w.leaseEnd = max(w.leaseEnd, until)
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if w.unhealthy {
		w.log("refused", o.Task, o.Run, "503")
		w.mu.Unlock()
		answer(rw, 503, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return
	}
	status, reason := w.carryOutStart(o)
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	body := map[string]any{"clock_ms": clock}
	if reason != "" {
		body["reason"] = reason
	}
	answer(rw, status, body)
}

func (w *worker) carryOutStart(o order) (int, string) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return 200, ""
	}
	s := parseSpec(o.Spec)
	if o.Run <= w.ended[o.Task] || (w.runs[o.Task] != nil && w.runs[o.Task].number >= o.Run) {
		w.extend(o.UntilMS)
		return 409, "old"
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= w.clock() {
		return 409, "late"
	}
	w.extend(o.UntilMS)
	cpu, mem := s.cpu, s.mem
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu > w.cpu || mem > w.mem || w.runs[o.Task] != nil {
		return 409, "room"
	}
	w.runs[o.Task] = &run{task: o.Task, number: o.Run, spec: s, began: time.Now(), cpu: s.cpu, mem: s.mem, checkpoint: o.Checkpoint}
	w.log("start", o.Task, o.Run, "token="+strconv.FormatInt(o.Token, 10))
	return 200, ""
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.ended[o.Task] = max(w.ended[o.Task], o.Run)
	if running := w.runs[o.Task]; running != nil && running.number <= o.Run && !running.stopping {
		running.stopping, running.stopAt = true, time.Now().Add(w.stopGrace)
		w.log("stopping", o.Task, o.Run, "")
	}
	w.mu.Unlock()
	answer(rw, 200, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.accept(rw, r); ok {
		w.mu.Unlock()
		answer(rw, 200, map[string]any{"clock_ms": w.clock().Milliseconds()})
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if o.UntilMS > 0 {
		w.extend(o.UntilMS)
	}
	kept := w.finished[:0:0]
	for _, f := range w.finished {
		if f.n > o.LastSeen {
			kept = append(kept, f)
			continue
		}
		w.log("noted", f.task, f.run, fmt.Sprintf("how=%s n=%d by=%d", f.how, f.n, o.LastSeen))
	}
	w.finished = kept
	deadline := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(w.finished) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := 50
		if d := run.spec.duration(run.task); !run.spec.lasts && d > 0 {
			percent = int(min(99, 100*time.Since(run.began)/d))
		} else if run.spec.lasts {
			percent = 100
		}
		running = append(running, []any{run.task, run.number, run.checkpoint, percent, run.cpu})
	}
	for i, f := range w.finished {
		if i == 500 {
			break
		}
		finished = append(finished, []any{f.n, f.task, f.run, f.how, f.save})
	}
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	answer(rw, 200, map[string]any{"clock_ms": clock, "born": w.born, "running": running, "finished": finished})
}
