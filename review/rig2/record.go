package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// event is one line of record.txt.
type event struct {
	At     time.Time
	Who    string
	What   string
	Task   string
	Run    int
	Detail string
}

type recorder struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	events []event
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f}, nil
}

// add records an event and returns its time.
func (r *recorder) add(who, what, task string, run int, format string, args ...any) time.Time {
	return r.addAt(time.Now(), who, what, task, run, format, args...)
}

func (r *recorder) addAt(at time.Time, who, what, task string, run int, format string, args ...any) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := event{At: at, Who: who, What: what, Task: task, Run: run, Detail: fmt.Sprintf(format, args...)}
	r.events = append(r.events, e)
	line := fmt.Sprintf("%9.3f %-14s %-10s", at.Sub(r.began).Seconds(), who, what)
	if task != "" {
		line += " " + task
	}
	if run > 0 {
		line += fmt.Sprintf(" run %d", run)
	}
	if e.Detail != "" {
		line += " " + e.Detail
	}
	fmt.Fprintln(r.file, line)
	return at
}

func (r *recorder) list() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

func (r *recorder) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
