package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/basilferry/basilferry/core/domain"
)

// ruleChecker checks the rules that involve several fields and collects the
// problems.
type ruleChecker struct {
	doc      *document
	settings Settings
	// earlier are the problems that the schema check has found. A rule is not
	// applied to a field that has a problem, because the field then has its
	// default and not the value of the file.
	earlier []Problem
	found   []Problem
}

func checkRules(doc *document, settings Settings, earlier []Problem) []Problem {
	r := &ruleChecker{doc: doc, settings: settings, earlier: earlier}
	r.checkDomains()
	r.checkNodes()
	r.checkOwnNode()
	r.checkPlatform()
	r.checkLimits()
	r.checkSLOs()
	r.checkEmbedded()
	return r.found
}

// report adds a problem at the first field, unless one of the fields, or a
// parent or child of one, already has a problem.
func (r *ruleChecker) report(message, remedy string, fields ...string) {
	for _, field := range fields {
		if slices.ContainsFunc(r.earlier, func(p Problem) bool { return isSameOrNested(p.Field, field) }) {
			return
		}
	}
	r.found = append(r.found, r.doc.problemAt(fields[0], message, remedy))
}

func isSameOrNested(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+"/") || strings.HasPrefix(b, a+"/")
}

func (r *ruleChecker) checkDomains() {
	for i, d := range r.settings.Cluster.Domains {
		pointer := "/cluster/domains/" + strconv.Itoa(i)
		if slices.Index(r.settings.Cluster.Domains, d) < i {
			r.report(fmt.Sprintf("failure domain %q is listed twice", d), "remove one of them", pointer)
		}
		inDomain := func(n NodeAddress) bool { return n.Domain == d }
		if !slices.ContainsFunc(r.settings.Cluster.Nodes, inDomain) {
			r.report(fmt.Sprintf("failure domain %q has no node", d), "list its nodes in cluster.nodes or remove the failure domain", pointer, "/cluster/nodes")
		}
	}
}

func (r *ruleChecker) checkNodes() {
	ids := map[domain.NodeID]bool{}
	addresses := map[string]string{}
	for i, n := range r.settings.Cluster.Nodes {
		pointer := "/cluster/nodes/" + strconv.Itoa(i)
		if ids[n.ID] {
			r.report(fmt.Sprintf("node id %q is used twice", n.ID), "give each node its own id", pointer+"/id")
		}
		ids[n.ID] = true
		r.checkDomainListed(n.Domain, pointer+"/domain")
		r.checkAddressUnique(addresses, n.PeerAddress, pointer+"/peer_address")
		r.checkAddressUnique(addresses, n.HTTPAddress, pointer+"/http_address")
	}
}

func (r *ruleChecker) checkDomainListed(d domain.FailureDomain, pointer string) {
	if !slices.Contains(r.settings.Cluster.Domains, d) {
		r.report(fmt.Sprintf("failure domain %q is not in cluster.domains", d), "add it there or use a listed one", pointer, "/cluster/domains")
	}
}

func (r *ruleChecker) checkAddressUnique(used map[string]string, address, pointer string) {
	if first, ok := used[address]; ok {
		r.report(fmt.Sprintf("address %q is that of %s too", address, dottedName(first)), "give each listener its own address", pointer)
		return
	}
	used[address] = pointer
}

func (r *ruleChecker) checkOwnNode() {
	own := r.settings.Node
	r.checkDomainListed(own.Domain, "/node/domain")
	i := slices.IndexFunc(r.settings.Cluster.Nodes, func(n NodeAddress) bool { return n.ID == own.ID })
	if i < 0 {
		r.report(fmt.Sprintf("node %q is not in cluster.nodes", own.ID), "add it there or correct the id", "/node/id", "/cluster/nodes")
		return
	}
	listed := r.settings.Cluster.Nodes[i]
	pointer := "/cluster/nodes/" + strconv.Itoa(i)
	r.checkSame("domain", string(own.Domain), string(listed.Domain), pointer)
	r.checkSame("http_address", own.HTTPAddress, listed.HTTPAddress, pointer)
	r.checkSame("peer_address", own.PeerAddress, listed.PeerAddress, pointer)
}

func (r *ruleChecker) checkSame(name, own, listed, pointer string) {
	if own != listed {
		message := fmt.Sprintf("node.%s is %q but cluster.nodes has %q for this node", name, own, listed)
		r.report(message, "set both to the same value", "/node/"+name, pointer+"/"+name)
	}
}

func (r *ruleChecker) checkPlatform() {
	if r.settings.Embedded == nil && !r.doc.has("/platform") {
		r.report("field platform is missing", "set log_url and vm_list_url, or the embedded section", "/platform")
	}
}

func (r *ruleChecker) checkLimits() {
	// A planned stop does not interrupt requests, so it may have to wait as
	// long as the longest deadline.
	if r.settings.Limits.StopTimeout < r.settings.Limits.MaxDeadline {
		message := fmt.Sprintf("stop_timeout %s is below max_deadline %s", r.settings.Limits.StopTimeout, r.settings.Limits.MaxDeadline)
		r.report(message, "set stop_timeout to at least max_deadline", "/limits/stop_timeout", "/limits/max_deadline")
	}
}

func (r *ruleChecker) checkSLOs() {
	seen := map[domain.Kind]bool{}
	for i, g := range r.settings.SLOs {
		pointer := "/objectives/" + strconv.Itoa(i)
		if seen[g.Kind] {
			r.report(fmt.Sprintf("kind %q has two objectives", g.Kind), "keep one objective for each kind", pointer+"/kind")
		}
		seen[g.Kind] = true
		if g.Kind == domain.KindWatch && g.Latency > 0 {
			r.report("the objective of watches has a latency", "leave latency out; a watch has no answer to wait for", pointer+"/latency", pointer+"/kind")
		}
		if g.Kind == domain.KindUrgent && g.Latency > r.settings.Limits.MaxDeadline {
			message := fmt.Sprintf("latency %s is above max_deadline %s", g.Latency, r.settings.Limits.MaxDeadline)
			r.report(message, "set a latency within limits.max_deadline", pointer+"/latency", pointer+"/kind", "/limits/max_deadline")
		}
	}
}

func (r *ruleChecker) checkEmbedded() {
	e := r.settings.Embedded
	if e == nil {
		return
	}
	if e.WorkersPerRack > e.WorkersPerDomain {
		message := fmt.Sprintf("workers_per_rack %d is above workers_per_domain %d", e.WorkersPerRack, e.WorkersPerDomain)
		r.report(message, "set at most workers_per_domain", "/embedded/workers_per_rack", "/embedded/workers_per_domain")
	}
	for _, d := range r.settings.Cluster.Domains {
		count := 0
		for _, n := range r.settings.Cluster.Nodes {
			if n.Domain == d {
				count++
			}
		}
		if count != e.NodesPerDomain {
			message := fmt.Sprintf("nodes_per_domain is %d but cluster.nodes has %d nodes in %q", e.NodesPerDomain, count, d)
			r.report(message, "list as many nodes in each failure domain", "/embedded/nodes_per_domain", "/cluster/nodes", "/cluster/domains")
		}
	}
}
