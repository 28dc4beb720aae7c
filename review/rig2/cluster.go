package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName    = "review.example"
	pathPrefix  = "/checks/"
	metricsPort = 9464
	program     = "target/basilferryd"
	template    = "deploy/settings.json"
)

var zones = []string{"larisa", "volos", "lamia"}

// node is an entry node, a process of the project's own program.
type node struct {
	name, zone, ip, front, ready, settings string
	door                                   *door
	cmd                                    *exec.Cmd
	done                                   chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	record *recorder
	store  *store
	fleet  *fleet
	dir    string
	nodes  []*node
	client *http.Client

	mu sync.Mutex
	// owner is the node of the ownership term that began last, by the newest claim that
	// the store has.
	owner *node
	// refused counts the appends that were too large.
	refused int
}

// newCluster starts nodes and workers and waits until all nodes are ready.
func newCluster(r *recorder, nodes, workers, perRack int) (*cluster, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the system first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := newStore()
	c := &cluster{
		record: r, store: s, fleet: newFleet(r, s), dir: dir,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	s.onAppend = c.watchAppends
	c.configure(3)
	for i := range workers {
		// Racks do not span zones.
		rack := i / perRack
		if _, err := c.fleet.add(zones[rack%len(zones)], fmt.Sprintf("r%d", rack)); err != nil {
			return c, err
		}
	}
	for i := range nodes {
		if err := c.addNode(i); err != nil {
			return c, err
		}
	}
	return c, c.waitReady(20 * time.Second)
}

// configure writes the operator's configuration.
func (c *cluster) configure(version int) {
	c.store.put(names.OperatorTopic, "config", mustJSON(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-check", "hostname": hostName, "path_prefix": pathPrefix, "route_type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 250,
			"priority": 0, "service": serviceName, "max_attempts": 4, "stretch": 1.5,
		}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", names.Overload: true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
}

// watchAppends notes who claims and renews the ownership.
func (c *cluster) watchAppends(name, topic, part string, q url.Values, records []record, status int) {
	if topic != topicJobs {
		return
	}
	if status == http.StatusBadRequest {
		c.mu.Lock()
		c.refused++
		n := c.refused
		c.mu.Unlock()
		if n == 1 || n%100 == 0 {
			c.record.add("store", "refused", "", 0, "append number %d of %s to part %s: over record_bytes or call_bytes", n, name, part)
		}
		return
	}
	if part != "0" || status != http.StatusOK {
		return
	}
	for _, r := range records {
		if r.key != "o" {
			continue
		}
		c.mu.Lock()
		if q.Has("at") {
			for _, n := range c.nodes {
				if n.name == name {
					c.owner = n
				}
			}
			c.record.add("store", "claim", "", 0, "by %s", name)
		}
		c.mu.Unlock()
	}
}

func (c *cluster) currentOwner() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// nodeIP returns a loopback address with a free metrics port.
func nodeIP() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort)); err == nil {
			l.Close()
			return ip
		}
	}
}

func (c *cluster) addNode(i int) error {
	n := &node{zone: zones[i%len(zones)], ip: nodeIP()}
	n.name = fmt.Sprintf("edge-%s-%d", n.zone, 1+i/len(zones))
	var err error
	if n.front, err = freeAddress(n.ip); err != nil {
		return err
	}
	if n.ready, err = freeAddress(n.ip); err != nil {
		return err
	}
	if n.door, err = c.store.open(n.name); err != nil {
		return err
	}
	if n.settings, err = c.writeSettings(n); err != nil {
		return err
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return c.startNode(n)
}

// writeSettings fills in the template of the deploy file, as the platform does.
func (c *cluster) writeSettings(n *node) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"node_name": n.name, "zone": n.zone, "ip": n.ip, "listen.front": n.front, "listen.ready": n.ready,
		"platform.address": n.door.address, "advice": "", "limits.cpu_share": 0.4, "limits.memory_mb": 284, "limits.link_mbps": 1000.0,
		"bounds.hold_max_ms": leaseLimit.Milliseconds(), "bounds.status_s": 120, "bounds.grace_s": 6,
	}
	var missing error
	filled := regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`).ReplaceAllStringFunc(string(text), func(m string) string {
		name := strings.TrimSuffix(strings.TrimPrefix(m, "{{"), "|json}}")
		v, ok := values[name]
		if !ok {
			missing = fmt.Errorf("the settings template uses %s", name)
		}
		return string(mustJSON(v))
	})
	if missing != nil {
		return "", missing
	}
	path := filepath.Join(c.dir, n.name+".json")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// startNode starts the program with the command of the deploy file.
func (c *cluster) startNode(n *node) error {
	logs, err := os.Create(filepath.Join(c.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(program, "--platform")
	n.cmd.Env = []string{names.SettingsVariable + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	out, err := n.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	n.cmd.Stderr = n.cmd.Stdout
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		defer logs.Close()
		scanner := bufio.NewScanner(out)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			fmt.Fprintf(logs, "%9.3f %s\n", c.record.since(time.Now()), scanner.Bytes())
			c.noteLog(n, scanner.Bytes())
		}
		_, _ = io.Copy(io.Discard, out)
		_ = cmd.Wait()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// noteLog copies what a node says of its ownership terms to the record. No verdict depends
// on it.
func (c *cluster) noteLog(n *node, line []byte) {
	var l struct {
		Msg    string `json:"msg"`
		Token  int64  `json:"token"`
		Reason string `json:"reason"`
		Topic  string `json:"topic"`
		Part   any    `json:"part"`
	}
	if json.Unmarshal(line, &l) != nil {
		return
	}
	switch l.Msg {
	case "ownership term started", "ownership term ended", "scheduling started", "history dropped":
		c.record.add(n.name, "log", "", 0, "%s token %d %s", l.Msg, l.Token, l.Reason)
	}
}

// close ends all processes.
func (c *cluster) close() {
	for _, n := range c.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs are kept in", c.dir)
	}
}

func (c *cluster) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range c.nodes {
		for {
			res, err := c.client.Get("http://" + n.ready + "/ready")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for time.Now().Before(deadline) {
		if owner := c.currentOwner(); owner != nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("no node has become the owner")
}

// step and jobBody are a job as clients send it.
type step struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	MemoryMB     int64 `json:"mem_mb"`
	EstimateMS   int64 `json:"estimate_ms"`
	DependsOn    []int `json:"depends_on,omitempty"`
	Saves        bool  `json:"saves_progress,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
	SameRack     bool  `json:"same_rack,omitempty"`
	LongRunning  bool  `json:"long_running,omitempty"`
	MaxPerServer int   `json:"max_per_server,omitempty"`
}

type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// newJob returns a job whose steps have the given specs and counts. Each depends on the
// one before.
func newJob(specs []taskSpec, counts []int) jobBody {
	j := jobBody{Spec: specText(specs...)}
	for i, s := range specs {
		estimate := s.takes.Milliseconds()
		if estimate == 0 {
			estimate = 400
		}
		next := step{Count: counts[i], CPU: s.cpu, MemoryMB: s.mem, EstimateMS: estimate, Saves: s.saves, Gang: s.gang > 0, LongRunning: s.takes == 0}
		if i > 0 {
			next.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, next)
	}
	return j
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request of a client. It returns status 0 without an answer.
func (c *cluster) call(n *node, method, id string, body []byte) (int, map[string]any) {
	req, err := http.NewRequest(method, "http://"+n.front+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set(names.DeadlineHeader, "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(res.Body).Decode(&answer)
	return res.StatusCode, answer
}

// submit hands a job in at a node, and again at others until one accepts it, as clients do.
// It returns the time of the acceptance and whether there was one.
func (c *cluster) submit(at int, id string, j jobBody) (time.Time, bool) {
	body := mustJSON(j)
	for i := range 5 {
		n := c.nodes[(at+i)%len(c.nodes)]
		status, _ := c.call(n, http.MethodPost, id, body)
		c.record.add("client", "POST", id, 0, "at %s: %d", n.name, status)
		if status == http.StatusOK {
			return time.Now(), true
		}
		time.Sleep(150 * time.Millisecond)
	}
	return time.Time{}, false
}

func (c *cluster) state(at int, id string) string {
	n := c.nodes[at%len(c.nodes)]
	status, answer := c.call(n, http.MethodGet, id, nil)
	state, _ := answer["state"].(string)
	c.record.add("client", "GET", id, 0, "at %s: %d %s", n.name, status, state)
	return state
}
