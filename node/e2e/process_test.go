package e2e

import (
	"bytes"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// addressTimeout bounds the time until a stand-in prints its address.
	addressTimeout = 20 * time.Second
	// plannedStopTimeout bounds a planned stop. It exceeds the stop timeout of
	// the nodes.
	plannedStopTimeout = 30 * time.Second
	// maxOutputBytes bounds how much of the output of a process is printed when a
	// test fails: its end.
	maxOutputBytes = 16 << 10
)

// process is a running program of the project.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *output
	// done is closed when the process has exited.
	done chan struct{}
}

// startProcess starts a program. The program is killed when the test ends, and
// its output is printed if the test failed.
func startProcess(t *testing.T, name, path string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(path, args...), output: newOutput(), done: make(chan struct{})}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	// Kills the process if the test binary exits without running its cleanups.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s (pid %d):\n%s", name, p.cmd.Process.Pid, p.output.tail())
		}
	})
	return p
}

// kill kills the process with SIGKILL, which also ends a paused process, and
// waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s), p.name)
}

// stop requests a planned stop and reports whether the process exited with
// status 0.
func (p *process) stop(t *testing.T) bool {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(plannedStopTimeout):
		t.Fatalf("%s has not exited %s after SIGTERM", p.name, plannedStopTimeout)
	}
	return p.cmd.ProcessState.Success()
}

// address returns the first line of the output, which is the address on which a
// stand-in listens.
func (p *process) address(t *testing.T) string {
	t.Helper()
	select {
	case <-p.output.firstLine:
		return p.output.line()
	case <-p.done:
	case <-time.After(addressTimeout):
	}
	t.Fatalf("%s has not printed its address: %s", p.name, p.output.tail())
	return ""
}

// output collects the standard output and standard error of a process.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
	// firstLine is closed once the first line is complete.
	firstLine    chan struct{}
	hasFirstLine bool
}

func newOutput() *output { return &output{firstLine: make(chan struct{})} }

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data.Write(data)
	if !o.hasFirstLine && bytes.IndexByte(o.data.Bytes(), '\n') >= 0 {
		o.hasFirstLine = true
		close(o.firstLine)
	}
	return len(data), nil
}

func (o *output) line() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	first, _, _ := strings.Cut(o.data.String(), "\n")
	return first
}

func (o *output) tail() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	text := o.data.String()
	return text[max(0, len(text)-maxOutputBytes):]
}
