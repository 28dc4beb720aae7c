package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
const (
	topicJobs = "keyed.basilferry"

	appendTime        = 2 * time.Millisecond
	answerTime        = 2 * time.Millisecond
	repeatableAppends = 5
	maxPageKeys       = 500
	maxPageBytes      = 1 << 20
	recordBytes       = 262144
	callBytes         = 2097152
	// maxAppendWait is the backlog of a partition from which on an append is refused.
	maxAppendWait = 2 * time.Second
)

type record struct {
	raw   []byte
	key   string
	value []byte
}

type producer struct {
	epoch, sequence int64
	answers         map[int64]json.RawMessage
}

type kept struct {
	value  []byte
	offset int64
}

type partition struct {
	queue     sync.Mutex // appends are carried out one at a time
	first     int64      // offset of records[0]
	records   []record
	newest    map[string]kept
	producers map[string]*producer
	changed   chan struct{}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// silence is not nil while reads of the log are not answered. It is closed when
	// their connections are cut.
	silence chan struct{}
	// onAppend is called with the calls of the nodes that were carried out.
	onAppend func(node, topic, part string, q url.Values, records []record, status int)
	// onLate is called with a lost append of a client's request once it was carried out.
	onLate func(node, id string, status int)
}

// noteLate reports a lost append of a job once it was carried out.
func (s *store) noteLate(node string, r *http.Request, a *answer) {
	if s.onLate != nil && strings.Contains(r.URL.Query().Get("producer"), node) {
		s.onLate(node, r.URL.Query().Get("seq_no"), a.status)
	}
}

func newStore() *store { return &store{partitions: map[string]*partition{}} }

// door is the address at which one node reaches the store.
type door struct {
	store   *store
	node    string
	address string
	server  *http.Server

	mu sync.Mutex
	// lost is the share of the appends that are carried out late and never answered.
	lost float64
}

func (s *store) open(node string) (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, node: node, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Append, d.handle(d.append))
	mux.HandleFunc("GET /log-read", d.handle(d.read))
	mux.HandleFunc("GET /log-newest", d.handle(d.listNewest))
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// loseAppends makes the store carry a share of the node's appends out late and answer none of
// these.
func (d *door) loseAppends(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost = share
}

// lostFor returns how much later the call is carried out, without an answer; 0 for a call
// that is not lost.
func (d *door) lostFor(r *http.Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Method != http.MethodPost || rand.Float64() >= d.lost {
		return 0
	}
	return time.Second + rand.N(5*time.Second)
}

type answer struct {
	status int
	kind   string
	body   []byte
}

func (d *door) handle(carryOut func(r *http.Request, body []byte) *answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if delay := d.lostFor(r); delay > 0 {
			time.AfterFunc(delay, func() {
				if a := carryOut(r, body); a != nil {
					d.store.noteLate(d.node, r, a)
				}
			})
			<-r.Context().Done()
			return
		}
		a := carryOut(r, body)
		if a == nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(answerTime)
		w.Header().Set("Content-Type", a.kind)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	}
}

func jsonAnswer(status int, body any) *answer {
	data, _ := json.Marshal(body)
	return &answer{status: status, kind: "application/json", body: data}
}

func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]kept{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (d *door) append(r *http.Request, body []byte) *answer {
	q := r.URL.Query()
	if q.Get("topic") == names.OperatorTopic || q.Get("topic") == names.RegistryTopic {
		return jsonAnswer(http.StatusForbidden, map[string]any{})
	}
	return d.store.append(d.node, q, body)
}

func (s *store) append(node string, q url.Values, body []byte) *answer {
	records, err := splitRecords(body)
	if err != nil {
		if s.onAppend != nil {
			s.onAppend(node, q.Get("topic"), q.Get("part"), q, nil, http.StatusBadRequest)
		}
		return jsonAnswer(http.StatusBadRequest, map[string]any{"error": err.Error()})
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	began := time.Now()
	p.queue.Lock()
	defer p.queue.Unlock()
	if time.Since(began) > maxAppendWait {
		return jsonAnswer(http.StatusServiceUnavailable, map[string]any{})
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := p.append(q, records)
	if s.onAppend != nil {
		s.onAppend(node, q.Get("topic"), q.Get("part"), q, records, status)
	}
	return jsonAnswer(status, answer)
}

func splitRecords(body []byte) ([]record, error) {
	var out []record
	total := 0
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, fmt.Errorf("a record has no length")
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		if n > len(body) || n < 5 {
			return nil, fmt.Errorf("a record is incomplete")
		}
		raw := body[4:n]
		if len(raw) > recordBytes {
			return nil, fmt.Errorf("a record has %d bytes, record_bytes is %d", len(raw), recordBytes)
		}
		total += len(raw)
		key := 1 + int(raw[0])
		if key > len(raw) {
			return nil, fmt.Errorf("a key is incomplete")
		}
		out = append(out, record{raw: raw, key: string(raw[1:key]), value: raw[key:]})
		body = body[n:]
	}
	if total > callBytes {
		return nil, fmt.Errorf("the records of a call have %d bytes, call_bytes is %d", total, callBytes)
	}
	return out, nil
}

func (p *partition) append(q url.Values, records []record) (int, any) {
	end := p.end()
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	sequence := number("seq_no")
	var prod *producer
	if name := q.Get("producer"); name != "" {
		var status int
		var answer any
		if prod, status, answer = p.producer(name, number("epoch"), sequence); status != 0 {
			return status, answer
		}
	}
	if q.Has("at") && number("at") != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = kept{value: r.value, offset: p.end()}
		}
		p.records = append(p.records, r)
	}
	answer, _ := json.Marshal(map[string]any{"offset": end, "end": p.end()})
	if prod != nil {
		prod.sequence = sequence
		prod.answers[sequence] = answer
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return http.StatusOK, json.RawMessage(answer)
}

// producer returns the producer of an append, or the answer if the append is refused or a
// repetition.
func (p *partition) producer(name string, epoch, sequence int64) (*producer, int, any) {
	prod := p.producers[name]
	if prod == nil || epoch > prod.epoch {
		prod = &producer{epoch: epoch, sequence: sequence - 1, answers: map[int64]json.RawMessage{}}
		p.producers[name] = prod
	}
	if epoch < prod.epoch {
		return nil, http.StatusConflict, map[string]any{"reason": "fenced"}
	}
	if answer, ok := prod.answers[sequence]; ok && sequence > prod.sequence-repeatableAppends {
		return nil, http.StatusOK, answer
	}
	if sequence != prod.sequence+1 {
		return nil, http.StatusConflict, map[string]any{"reason": "seq", "seq_no": prod.sequence + 1}
	}
	return prod, 0, nil
}

func (d *door) read(r *http.Request, _ []byte) *answer {
	s, q := d.store, r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, silence := s.partition(q.Get("topic"), q.Get("part")), s.silence
		first, end, changed := p.first, p.end(), p.changed
		var page []byte
		if from >= first && (from < end || wait == 0) {
			page = p.page(from)
		}
		s.mu.Unlock()
		switch {
		case silence != nil && q.Get("topic") == topicJobs:
			select {
			case <-silence:
			case <-r.Context().Done():
			}
			return nil
		case from < first:
			return jsonAnswer(http.StatusGone, map[string]any{"first": first})
		case page != nil:
			return &answer{status: http.StatusOK, kind: "application/octet-stream", body: page}
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return nil
		}
	}
}

func (p *partition) page(from int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for i := from; i < p.end() && len(out) < maxPageBytes; i++ {
		raw := p.records[i-p.first].raw
		out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
		out = append(out, raw...)
	}
	return out
}

func (d *door) listNewest(r *http.Request, _ []byte) *answer {
	s, q := d.store, r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("depends_on") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	truncated := false
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		if len(items) == maxPageKeys || size > maxPageBytes {
			truncated = true
			break
		}
		k := p.newest[key]
		size += len(k.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
	}
	return jsonAnswer(http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": p.end()})
}

// put appends a record, as the platform itself does.
func (s *store) put(topic, key string, value []byte) {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	body = append(body, byte(len(key)))
	body = append(body, key...)
	s.append("platform", url.Values{"topic": {topic}, "part": {"0"}}, append(body, value...))
}

// forget drops the history of the system's own topic. The newest record of each key is
// kept. The caller holds the lock.
func (s *store) forget() {
	for name, p := range s.partitions {
		if strings.HasPrefix(name, topicJobs+"/") {
			p.first, p.records = p.end(), nil
		}
	}
}

// beginSilence lets the reads of the system's own topic hear nothing.
func (s *store) beginSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence = make(chan struct{})
	for name, p := range s.partitions {
		if strings.HasPrefix(name, topicJobs+"/") {
			close(p.changed) // wakes the open reads, which then hear nothing
			p.changed = make(chan struct{})
		}
	}
}

// endSilence drops the history and cuts the reads that heard nothing.
func (s *store) endSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget()
	close(s.silence)
	s.silence = nil
}
