package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/basilferry/basilferry/core/domain"
	"github.com/basilferry/basilferry/core/ring"
	"github.com/basilferry/basilferry/node/httpapi"
	"github.com/basilferry/basilferry/node/internal/testport"
	"github.com/basilferry/basilferry/node/settings"
	"github.com/basilferry/basilferry/standin/worker"
)

// Topology of the clusters.
const (
	nodesPerDomain  = 2
	shardsPerDomain = 2
)

var domains = []domain.FailureDomain{"larissa", "volos"}

var workerCapacity = domain.Resources{CPUMilli: 16_000, MemoryMiB: 32_768, Slots: 8, Connections: 64}

const (
	// readyTimeout bounds the start of a cluster on a busy host.
	readyTimeout = 60 * time.Second
	// pollDelay is the time between two checks of a condition.
	pollDelay = 50 * time.Millisecond
	// nodeStopTimeout is limits.stop_timeout of the nodes.
	nodeStopTimeout = 20 * time.Second
	// maxDeadline is limits.max_deadline of the nodes.
	maxDeadline = 10 * time.Second
)

// cluster is a set of processes: the stand-ins for the platform and the entry
// nodes.
type cluster struct {
	t       *testing.T
	log     *standin
	vmList  *standin
	workers []*workerVM
	nodes   []*entryNode
	cfg     settings.Settings
}

// standin is the process of a stand-in for a platform service.
type standin struct {
	*process
	addr string
}

// workerVM is a worker process.
type workerVM struct {
	standin
	id      domain.WorkerID
	domain  domain.FailureDomain
	control string
	// finalHistory holds the attempts of a worker that was killed.
	finalHistory []worker.AttemptInterval
	crashed      bool
}

// entryNode is a basilferryd process.
type entryNode struct {
	settings.NodeAddress
	settingsFile string
	proc         *process
}

func (n *entryNode) baseURL() string { return "http://" + n.HTTPAddress }

// options configure a cluster.
type options struct {
	vmListLag time.Duration
	// shards has the shard index of each worker of a domain. Nil means three
	// workers, two in the first shard and one in the second.
	shards []int
}

// workerIDsInShards returns a worker id for each of the given shard indexes of d.
// The hash ring assigns the id to that shard.
func workerIDsInShards(t *testing.T, d domain.FailureDomain, shards []int) []domain.WorkerID {
	t.Helper()
	if shards == nil {
		shards = []int{0, 0, 1}
	}
	r, err := ring.New(domains, shardsPerDomain)
	assert.NilError(t, err)
	var ids []domain.WorkerID
	for n := 1; len(ids) < len(shards); n++ {
		id := domain.WorkerID(fmt.Sprintf("%s-w%d", d, n))
		if r.ShardOfWorker(d, id).Index == shards[len(ids)] {
			ids = append(ids, id)
		}
	}
	return ids
}

// startCluster starts all processes and waits until every node can reserve
// request ids and every worker is attached.
func startCluster(t *testing.T, o options) *cluster {
	t.Helper()
	acquireClusterSlot(t)
	c := &cluster{t: t}
	c.log = startStandin(t, "log", "log")
	args := []string{"vmlist", "--lag", o.vmListLag.String()}
	for _, d := range domains {
		for _, id := range workerIDsInShards(t, d, o.shards) {
			w := startWorker(t, id, d)
			c.workers = append(c.workers, w)
			args = append(args, "--vm", fmt.Sprintf("id=%s,domain=%s,rack=%s-r1,address=%s", w.id, d, d, w.addr))
		}
	}
	c.vmList = startStandin(t, "vmlist", args...)
	c.writeAllSettings()
	for _, n := range c.nodes {
		c.startNode(n)
	}
	c.awaitReady()
	return c
}

func startStandin(t *testing.T, name string, args ...string) *standin {
	t.Helper()
	p := startProcess(t, name, cliPath, append([]string{"standin"}, args...)...)
	return &standin{process: p, addr: p.address(t)}
}

func startWorker(t *testing.T, id domain.WorkerID, d domain.FailureDomain) *workerVM {
	t.Helper()
	control := testport.FreeAddresses(t, 1)[0]
	s := startStandin(t, string(id), "worker",
		"--control-listen", control,
		"--id", string(id),
		"--domain", string(d),
		"--rack", string(d)+"-r1",
		"--cpu-milli", strconv.FormatInt(workerCapacity.CPUMilli, 10),
		"--memory-mib", strconv.FormatInt(workerCapacity.MemoryMiB, 10),
		"--slots", strconv.FormatInt(workerCapacity.Slots, 10),
		"--connections", strconv.FormatInt(workerCapacity.Connections, 10),
	)
	return &workerVM{standin: *s, id: id, domain: d, control: "http://" + control}
}

// writeAllSettings writes the settings files of the nodes.
func (c *cluster) writeAllSettings() {
	free := testport.FreeAddresses(c.t, 2*nodesPerDomain*len(domains))
	c.cfg = settings.Settings{
		Cluster:  settings.Cluster{Domains: domains, ShardsPerDomain: shardsPerDomain},
		Platform: settings.Platform{LogURL: "http://" + c.log.addr, VMListURL: "http://" + c.vmList.addr},
	}
	for i := range nodesPerDomain * len(domains) {
		c.cfg.Cluster.Nodes = append(c.cfg.Cluster.Nodes, settings.NodeAddress{
			ID:          domain.NodeID(fmt.Sprintf("n%d", i+1)),
			Domain:      domains[i/nodesPerDomain],
			PeerAddress: free[2*i],
			HTTPAddress: free[2*i+1],
		})
	}
	dir := c.t.TempDir()
	for _, a := range c.cfg.Cluster.Nodes {
		n := &entryNode{NodeAddress: a, settingsFile: filepath.Join(dir, string(a.ID)+".json")}
		c.writeSettings(n)
		c.nodes = append(c.nodes, n)
	}
}

func (c *cluster) writeSettings(n *entryNode) {
	c.t.Helper()
	data, err := json.Marshal(map[string]any{
		"node":     settings.Node{ID: n.ID, Domain: n.Domain, HTTPAddress: n.HTTPAddress, PeerAddress: n.PeerAddress},
		"cluster":  c.cfg.Cluster,
		"platform": c.cfg.Platform,
		"limits": map[string]string{
			"max_deadline": maxDeadline.String(),
			"stop_timeout": nodeStopTimeout.String(),
		},
	})
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(n.settingsFile, data, 0o600))
}

func (c *cluster) startNode(n *entryNode) {
	c.t.Helper()
	n.proc = startProcess(c.t, string(n.ID), daemonPath, "--settings", n.settingsFile)
}

// awaitReady waits until every node can reserve request ids and every worker is
// attached.
func (c *cluster) awaitReady() {
	c.t.Helper()
	for _, n := range c.nodes {
		c.awaitNode(n)
	}
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		got, err := getJSON[httpapi.WorkersResponse](c.nodes[0].baseURL() + "/v1/workers")
		if err != nil {
			return poll.Continue("list workers: %v", err)
		}
		attached := 0
		for _, w := range got.Workers {
			if w.State == "attached" {
				attached++
			}
		}
		if attached < len(c.workers) {
			return poll.Continue("%d of %d workers are attached: %+v", attached, len(c.workers), got)
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(pollDelay))
}

// awaitNode waits until a node can reserve request ids.
func (c *cluster) awaitNode(n *entryNode) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		var ids httpapi.IDsResponse
		if err := postJSON(n.baseURL()+"/v1/ids", struct{}{}, &ids); err != nil {
			return poll.Continue("node %s: %v", n.ID, err)
		}
		return poll.Success()
	}, poll.WithTimeout(readyTimeout), poll.WithDelay(pollDelay))
}

// shardOwners returns the owner of each shard according to the given node.
func (c *cluster) shardOwners(from *entryNode) map[domain.ShardID]*entryNode {
	c.t.Helper()
	got, err := getJSON[httpapi.NodesResponse](from.baseURL() + "/v1/nodes")
	assert.NilError(c.t, err)
	shardOwners := map[domain.ShardID]*entryNode{}
	for _, status := range got.Nodes {
		for _, s := range status.Shards {
			shardOwners[s] = c.nodeByID(status.ID)
		}
	}
	return shardOwners
}

// anyOwnerIn returns the owner of the first shard of the failure domain that has
// one, and the shard.
func (c *cluster) anyOwnerIn(d domain.FailureDomain) (*entryNode, domain.ShardID) {
	c.t.Helper()
	for i := range shardsPerDomain {
		s := domain.ShardID{Domain: d, Index: i}
		if n := c.shardOwners(c.firstNodeIn(d))[s]; n != nil {
			return n, s
		}
	}
	c.t.Fatalf("no node owns a shard of %s", d)
	return nil, domain.ShardID{}
}

func (c *cluster) nodeByID(id domain.NodeID) *entryNode {
	for _, n := range c.nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (c *cluster) firstNodeIn(d domain.FailureDomain) *entryNode {
	for _, n := range c.nodes {
		if n.Domain == d {
			return n
		}
	}
	return nil
}
