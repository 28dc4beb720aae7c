package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	mu    sync.Mutex
	parts map[string]*partition
}

type partition struct {
	queue     sync.Mutex // appends are carried out one at a time
	records   []storeRecord
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type storeRecord struct {
	raw   []byte
	key   string
	value []byte
	at    time.Time
}

type producer struct {
	epoch, seq int64
	answers    map[int64]json.RawMessage
}

const (
	storeAppendTime = 2 * time.Millisecond
	storeAnswerTime = 2 * time.Millisecond
	heartbeatEvery  = 1500 * time.Millisecond
)

var registryTopic, operatorTopic = names["registry"], names["operator"]

func newStore() *Store { return &Store{parts: map[string]*partition{}} }

// Door is the address at which one machine reaches the store.
type Door struct {
	store   *Store
	address string
	mu      sync.Mutex
	mode    DoorMode
}

// DoorMode is how the store treats the calls of one machine.
type DoorMode struct {
	Refuse bool          // 503, nothing is done
	Silent bool          // nothing is done, no answer
	Delay  time.Duration // added to each answer
	Lost   float64       // this share of the appends is carried out and not answered
	Late   float64       // this share of the appends is carried out 1 to 6 s later and not answered
}

func (s *Store) open() (*Door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{store: s, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["append"], d.append)
	mux.HandleFunc("GET /log-read", d.admitted(s.read))
	mux.HandleFunc("GET /log-newest", d.admitted(s.listNewest))
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return d, nil
}

func (d *Door) set(m DoorMode) {
	d.mu.Lock()
	d.mode = m
	d.mu.Unlock()
}

func (d *Door) admit(w http.ResponseWriter, r *http.Request) (DoorMode, bool) {
	d.mu.Lock()
	m := d.mode
	d.mu.Unlock()
	time.Sleep(m.Delay)
	switch {
	case m.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return m, false
	case m.Silent:
		<-r.Context().Done()
		return m, false
	}
	return m, true
}

func (d *Door) admitted(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := d.admit(w, r); ok {
			handle(w, r)
		}
	}
}

func (d *Door) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m, ok := d.admit(w, r)
	if !ok {
		return
	}
	query := r.URL.Query()
	if rand.Float64() < m.Late {
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() { d.store.append(query, body) })
		<-r.Context().Done()
		return
	}
	status, answer := d.store.append(query, body)
	if rand.Float64() < m.Lost {
		<-r.Context().Done()
		return
	}
	time.Sleep(storeAnswerTime)
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

func (s *Store) append(q url.Values, body []byte) (int, any) {
	p := s.partition(q.Get("topic"), q.Get("part"))
	p.queue.Lock()
	defer p.queue.Unlock()
	time.Sleep(storeAppendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.append(q, splitRecords(body))
}

func splitRecords(body []byte) []storeRecord {
	var out []storeRecord
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		raw := body[4:n]
		key := 1 + int(raw[0])
		out = append(out, storeRecord{raw: raw, key: string(raw[1:key]), value: raw[key:], at: time.Now()})
		body = body[n:]
	}
	return out
}

func (p *partition) append(q url.Values, records []storeRecord) (int, any) {
	end := int64(len(p.records))
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	seq := number("seq_no")
	var prod *producer
	if name := q.Get("producer"); name != "" {
		epoch := number("epoch")
		prod = p.producers[name]
		if prod == nil || epoch > prod.epoch {
			prod = &producer{epoch: epoch, seq: seq - 1, answers: map[int64]json.RawMessage{}}
			p.producers[name] = prod
		}
		if epoch < prod.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if answer, ok := prod.answers[seq]; ok && seq > prod.seq-5 {
			return http.StatusOK, answer
		}
		if seq != prod.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq_no": prod.seq + 1}
		}
	}
	if q.Has("at") && number("at") != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	for _, r := range records {
		p.newest[r.key] = len(p.records)
		p.records = append(p.records, r)
	}
	answer, _ := json.Marshal(map[string]any{"offset": end, "end": int64(len(p.records))})
	if prod != nil {
		prod.seq = seq
		prod.answers[seq] = answer
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return http.StatusOK, json.RawMessage(answer)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), q.Get("part"))
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(storeAnswerTime)
	for {
		s.mu.Lock()
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(records) && len(out) < 1<<20; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i].raw)))
				out = append(out, records[i].raw...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), q.Get("part"))
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	var keys []string
	for key, i := range p.newest {
		if key > q.Get("depends_on") && len(p.records[i].value) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, truncated := []map[string]any{}, 0, false
	for _, key := range keys {
		value := p.records[p.newest[key]].value
		if len(items) == 500 || size > 0 && size+len(value) > 1<<20 {
			truncated = true
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": end})
}

func encodeRecord(key string, value []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	out = append(out, byte(len(key)))
	out = append(out, key...)
	return append(out, value...)
}

// put appends a record, as the platform itself does.
func (s *Store) put(topic, key string, value []byte) {
	s.append(url.Values{"topic": {topic}, "part": {"0"}}, encodeRecord(key, value))
}

// expire removes the registry entries of workers that have been silent for three
// heartbeat intervals.
func (s *Store) expire() {
	p := s.partition(registryTopic, "0")
	for range time.Tick(100 * time.Millisecond) {
		var silent []string
		s.mu.Lock()
		for key, i := range p.newest {
			if len(p.records[i].value) > 0 && time.Since(p.records[i].at) > 3*heartbeatEvery {
				silent = append(silent, key)
			}
		}
		s.mu.Unlock()
		for _, key := range silent {
			s.put(registryTopic, key, nil)
		}
	}
}
