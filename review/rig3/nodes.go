package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	serviceName = "desk"
	hostName    = "desk.example"
	pathPrefix  = "/jobs/"
	metricsPort = 9464
)

// Node is an entry node: the project's own program, as a process.
type Node struct {
	cluster                *Cluster
	Name, Zone, IP         string
	front, ready, settings string
	door                   *Door
	cmd                    *exec.Cmd
	done                   chan struct{}
	termBegan              time.Time
	lastToken              string
	incarnation            int
	logs                   *os.File
	busy                   sync.Mutex
}

// Cluster is the store, the nodes and the workers of one run.
type Cluster struct {
	root, dir string
	world     *World
	store     *Store
	nodes     []*Node
	mu        sync.Mutex
	owner     *Node
	holdMax   time.Duration
	linkMbps  float64
}

func (c *Cluster) addNode(zone string) (*Node, error) {
	n := &Node{cluster: c, Name: fmt.Sprintf("edge-%s-%d", zone, len(c.nodes)+1), Zone: zone}
	for n.IP == "" {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort)); err == nil {
			l.Close()
			n.IP = ip
		}
	}
	for _, address := range []*string{&n.front, &n.ready} {
		l, err := net.Listen("tcp", n.IP+":0")
		if err != nil {
			return nil, err
		}
		*address = l.Addr().String()
		defer l.Close()
	}
	var err error
	if n.door, err = c.store.open(); err != nil {
		return nil, err
	}
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	if n.logs, err = os.Create(filepath.Join(c.dir, n.Name+".log")); err != nil {
		return nil, err
	}
	c.nodes = append(c.nodes, n)
	return n, nil
}

// writeSettings fills in deploy/settings.json, as the platform does.
func (n *Node) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(n.cluster.root, "deploy/settings.json"))
	if err != nil {
		return err
	}
	values := map[string]any{
		"node_name": n.Name, "zone": n.Zone, "ip": n.IP, "listen.front": n.front, "listen.ready": n.ready,
		"platform.address": n.door.address, "advice": "", "limits.cpu_share": 0.4, "limits.memory_mb": 284, "limits.link_mbps": n.cluster.linkMbps,
		"bounds.hold_max_ms": n.cluster.holdMax.Milliseconds(), "bounds.status_s": 120, "bounds.grace_s": 6,
	}
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/([a-z_.]+)\}\}`)
	template = section.ReplaceAll(template, nil) // bounds that this deployment does not have
	text := regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`).ReplaceAllStringFunc(string(template), func(m string) string {
		data, _ := json.Marshal(values[strings.TrimSuffix(strings.TrimPrefix(m, "{{"), "|json}}")])
		return string(data)
	})
	n.settings = filepath.Join(n.cluster.dir, n.Name+".json")
	return os.WriteFile(n.settings, []byte(text), 0o644)
}

// start starts a process of the node with the command of deploy/system.toml.
func (n *Node) start() error {
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.cluster.root, "target/basilferryd"), "--platform")
	cmd.Dir = n.cluster.root
	cmd.Env = append(os.Environ(), names["settings"]+"="+n.settings)
	cmd.Stdout, cmd.Stderr = write, write
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	done := make(chan struct{})
	if err := cmd.Start(); err != nil {
		return err
	}
	write.Close()
	close(started)
	n.cmd, n.done = cmd, done
	go func() {
		defer read.Close()
		lines := bufio.NewScanner(read)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			n.observe(lines.Bytes())
		}
		_, _ = io.Copy(io.Discard, read)
		err := cmd.Wait()
		n.cluster.world.mu.Lock()
		n.cluster.world.log("node %s: process %d ends (%v)", n.Name, cmd.Process.Pid, err)
		n.cluster.world.mu.Unlock()
		close(done)
	}()
	n.cluster.world.mu.Lock()
	n.cluster.world.log("node %s: process %d starts", n.Name, cmd.Process.Pid)
	n.cluster.world.mu.Unlock()
	return nil
}

func (n *Node) observe(line []byte) {
	_, _ = n.logs.Write(append(bytes.Clone(line), '\n'))
	if bytes.Contains(line, []byte(`"msg":"ownership term started"`)) {
		n.cluster.mu.Lock()
		n.cluster.owner = n
		n.termBegan = time.Now()
		n.cluster.mu.Unlock()
		n.cluster.world.mu.Lock()
		n.cluster.world.log("node %s: ownership term starts", n.Name)
		n.cluster.world.mu.Unlock()
	}
}

func (c *Cluster) currentOwner() *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner
}

// signal sends a signal to the node's process.
func (n *Node) signal(s syscall.Signal) {
	n.cluster.world.mu.Lock()
	n.cluster.world.log("node %s: %v", n.Name, s)
	n.cluster.world.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// close ends all processes.
func (c *Cluster) close() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.done
		}
	}
}

func (c *Cluster) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, n := range c.nodes {
		for {
			res, err := client.Get("http://" + n.ready + "/ready")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// configure writes the operator's configuration with one queue.
func (s *Store) configure(version int) {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-desk", "hostname": hostName, "path_prefix": pathPrefix, "route_type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 250,
			"priority": 0, "service": serviceName, "max_attempts": maxAttempts, "stretch": 1.5,
		}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", names["rejects"]: true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.put(operatorTopic, "config", data)
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request of a client to a node.
func (n *Node) call(method, id string, body []byte) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+n.front+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = hostName
	req.Header.Set(names["deadline"], "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", err
	}
	return res.StatusCode, string(bytes.TrimSpace(text)), nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, again after a refusal or without an answer, until it is accepted.
func (c *Cluster) submit(j *Job) bool {
	c.world.mu.Lock()
	c.world.jobs[j.ID] = j
	c.world.mu.Unlock()
	body, _ := json.Marshal(j)
	for attempt := range 10 {
		n := c.nodes[(attempt+rand.IntN(len(c.nodes)))%len(c.nodes)]
		status, text, err := n.call(http.MethodPost, j.ID, body)
		c.world.mu.Lock()
		c.world.log("POST %s at %s: %d %s %v", j.ID, n.Name, status, text, err)
		if status/100 == 2 {
			j.Accepted = time.Now()
		}
		c.world.mu.Unlock()
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// cancel cancels a job.
func (c *Cluster) cancel(j *Job) {
	c.world.mu.Lock()
	j.CancelSent = time.Now()
	c.world.mu.Unlock()
	for range 10 {
		n := c.nodes[rand.IntN(len(c.nodes))]
		status, text, err := n.call(http.MethodDelete, j.ID, nil)
		c.world.mu.Lock()
		c.world.log("DELETE %s at %s: %d %s %v", j.ID, n.Name, status, text, err)
		if status/100 == 2 || status == 410 {
			j.CancelAck = time.Now()
		}
		c.world.mu.Unlock()
		if status/100 == 2 || status == 410 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state asks the nodes for the state of a job, each until one answers.
func (c *Cluster) state(j *Job) string {
	for i := range 2 * len(c.nodes) {
		n := c.nodes[i%len(c.nodes)]
		status, text, err := n.call(http.MethodGet, j.ID, nil)
		c.world.mu.Lock()
		c.world.log("GET %s at %s: %d %s %v", j.ID, n.Name, status, text, err)
		c.world.mu.Unlock()
		if status == 410 {
			return "410"
		}
		var answer struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
	}
	return ""
}
