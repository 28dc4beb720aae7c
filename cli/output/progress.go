package output

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Progress writes a line at regular intervals during a long wait.
type Progress struct {
	w     io.Writer
	start time.Time

	mu   sync.Mutex
	text string

	stop chan struct{}
	done chan struct{}
}

// StartProgress starts to write the text and the elapsed time at each interval.
// It writes nothing during a wait that is shorter than one interval.
func StartProgress(w io.Writer, interval time.Duration, text string) *Progress {
	p := &Progress{
		w:     w,
		start: time.Now(),
		text:  text,
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go p.run(interval)
	return p
}

// SetText replaces the text of the progress lines.
func (p *Progress) SetText(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = text
}

// Stop ends the progress lines. Nothing is written after it returns.
func (p *Progress) Stop() {
	close(p.stop)
	<-p.done
}

func (p *Progress) run(interval time.Duration) {
	defer close(p.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.write()
		case <-p.stop:
			return
		}
	}
}

func (p *Progress) write() {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.w, "%s (%s)\n", p.text, time.Since(p.start).Round(time.Second))
}
