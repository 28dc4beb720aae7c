package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log with keyed topics,
// conditional appends and fenced producers, as PROTOCOL.md describes them.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// before, if set, is called without the lock before an append is carried out, and
	// after once it is. A false result of after drops the connection without an answer.
	before func(q appendCall)
	after  func(q appendCall) bool
	// pageDelay delays each page of log-newest. It may be nil.
	pageDelay func(topic string, part int) time.Duration
}

type appendCall struct {
	topic, producer string
	part            int
	conditional     bool
	keys            []string
}

type partition struct {
	queue     sync.Mutex // appends are carried out one at a time
	records   []record
	newest    map[string]int // key to index in records
	producers map[string]*producer
	changed   chan struct{}
}

type record struct {
	raw   []byte
	key   string
	value []byte
	at    time.Time
}

type producer struct {
	epoch, seq int64
	answers    map[int64][]byte
}

// appendTime is append_ms of the settings.
const appendTime = 2 * time.Millisecond

func newStore() *store { return &store{partitions: map[string]*partition{}} }

func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["append"], s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.listNewest)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) []byte {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
	return data
}

func splitRecords(body []byte) [][]byte {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			return nil
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	call := appendCall{topic: q.Get("topic"), part: part, producer: q.Get("producer"), conditional: q.Has("at")}
	raws := splitRecords(body)
	records := make([]record, len(raws))
	for i, raw := range raws {
		n := 1 + int(raw[0])
		records[i] = record{raw: raw, key: string(raw[1:n]), value: raw[n:], at: time.Now()}
		call.keys = append(call.keys, records[i].key)
	}
	if s.before != nil {
		s.before(call)
	}
	p := s.partition(call.topic, q.Get("part"))
	p.queue.Lock()
	time.Sleep(appendTime)
	status, out := s.carryOut(p, q, records)
	p.queue.Unlock()
	if s.after != nil && !s.after(call) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(2 * time.Millisecond)
	answer(w, status, out)
}

func (s *store) carryOut(p *partition, q map[string][]string, records []record) (int, any) {
	get := func(name string) string {
		if v := q[name]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	var prod *producer
	var seq int64
	if name := get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(get("seq_no"), 10, 64)
		prod = p.producers[name]
		if prod == nil || epoch > prod.epoch {
			prod = &producer{epoch: epoch, seq: seq - 1, answers: map[int64][]byte{}}
			p.producers[name] = prod
		}
		if epoch < prod.epoch {
			return 409, map[string]any{"reason": "fenced"}
		}
		if earlier, ok := prod.answers[seq]; ok && seq > prod.seq-5 {
			return 200, json.RawMessage(earlier)
		}
		if seq != prod.seq+1 {
			return 409, map[string]any{"reason": "seq", "seq_no": prod.seq + 1}
		}
	}
	if at := get("at"); at != "" {
		if n, _ := strconv.ParseInt(at, 10, 64); n != end {
			return 412, map[string]any{"end": end}
		}
	}
	for _, r := range records {
		p.newest[r.key] = len(p.records)
		p.records = append(p.records, r)
	}
	out := map[string]any{"offset": end, "end": int64(len(p.records))}
	if prod != nil {
		prod.seq = seq
		prod.answers[seq], _ = json.Marshal(out)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return 200, out
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), q.Get("part"))
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(2 * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			s.writeBatch(w, records, from)
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

func (s *store) writeBatch(w http.ResponseWriter, records []record, from int) {
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, uint64(len(records)))
	_ = binary.Write(&out, binary.BigEndian, uint64(0))
	for i := from; i < len(records) && out.Len() < 1<<20; i++ {
		_ = binary.Write(&out, binary.BigEndian, uint32(len(records[i].raw)))
		out.Write(records[i].raw)
	}
	w.WriteHeader(200)
	_, _ = w.Write(out.Bytes())
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	part, _ := strconv.Atoi(q.Get("part"))
	p := s.partition(topic, q.Get("part"))
	if s.pageDelay != nil {
		time.Sleep(s.pageDelay(topic, part))
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	var keys []string
	for key, i := range p.newest {
		if key > q.Get("depends_on") && len(p.records[i].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > 500
	if truncated {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, key := range keys {
		i := p.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(p.records[i].value), "offset": i})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, 200, map[string]any{"items": items, "truncated": truncated, "end": end})
}

// encodeRecord returns a keyed record as an append carries it.
func encodeRecord(key string, value []byte) []byte {
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, uint32(1+len(key)+len(value)))
	out.WriteByte(byte(len(key)))
	out.WriteString(key)
	out.Write(value)
	return out.Bytes()
}

// put appends a record, as the platform itself does.
func (s *store) put(topic, key string, value []byte) {
	raw := encodeRecord(key, value)[4:]
	p := s.partition(topic, "0")
	p.queue.Lock()
	defer p.queue.Unlock()
	s.carryOut(p, nil, []record{{raw: raw, key: key, value: value, at: time.Now()}})
}

// removeSilent removes the entries of workers that have been silent for three
// heartbeat intervals.
func (s *store) removeSilent(heartbeat time.Duration) {
	p := s.partition(names["registry_topic"], "0")
	for range time.Tick(200 * time.Millisecond) {
		var silent []string
		s.mu.Lock()
		for key, i := range p.newest {
			if len(p.records[i].value) > 0 && time.Since(p.records[i].at) > 3*heartbeat {
				silent = append(silent, key)
			}
		}
		s.mu.Unlock()
		for _, key := range silent {
			s.put(names["registry_topic"], key, nil)
		}
	}
}

func post(address, path, contentType string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, _ := http.NewRequest("POST", "http://"+address+path, bytes.NewReader(body))
	req.Header.Set("Content-Type", contentType)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := (&http.Client{Timeout: timeout}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

func trim(b []byte) string { return strings.TrimSpace(string(b)) }
