package output

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Progress writes a line at each interval of a long wait.
type Progress struct {
	w     io.Writer
	start time.Time

	mu   sync.Mutex
	text string

	stop chan struct{}
	done chan struct{}
}

// StartProgress starts to write the text at each interval. A wait that is
// shorter than one interval writes nothing.
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

// SetText replaces the text.
func (p *Progress) SetText(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = text
}

// Stop ends the progress; nothing is written after it returned.
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
