package placement

import "github.com/basilferry/basilferry/core/domain"

// tree is a complete binary tree over the free capacity of the workers. Each
// inner node has the largest free capacity among its leaves in each dimension,
// so a search skips a subtree in which a demand cannot fit.
type tree struct {
	leaves int          // a power of two
	nodes  []freeByKind // the children of node i are 2i and 2i+1, the root is 1
}

func newTree(leaves int) *tree {
	t := &tree{leaves: leaves, nodes: make([]freeByKind, 2*leaves)}
	for i := range t.nodes {
		t.nodes[i] = noneFree
	}
	return t
}

// set changes a leaf and updates the inner nodes above it.
func (t *tree) set(leaf int, r freeByKind) {
	i := leaf + t.leaves
	t.nodes[i] = r
	for i /= 2; i >= 1; i /= 2 {
		merged := mergeFree(&t.nodes[2*i], &t.nodes[2*i+1])
		if merged == t.nodes[i] {
			return
		}
		t.nodes[i] = merged
	}
}

// grow returns a tree with the same leaves and as many new ones.
func (t *tree) grow() *tree {
	bigger := newTree(2 * t.leaves)
	for leaf := range t.leaves {
		bigger.set(leaf, t.nodes[t.leaves+leaf])
	}
	return bigger
}

func mergeFree(a, b *freeByKind) freeByKind {
	var m freeByKind
	for k := range m {
		m[k] = componentwiseMax(a[k], b[k])
	}
	return m
}

// search calls visit for the leaves on which the demand fits. It stops when
// visit returns false or when it has visited the allowed number of nodes.
type search struct {
	tree       *tree
	index      int
	demand     domain.Resources
	visitsLeft int // nodes that may still be visited
	visit      func(leaf int) bool
}

// run begins at the leaf from and wraps around.
func (s *search) run(from int) {
	if s.walk(1, 0, s.tree.leaves, from, s.tree.leaves) {
		s.walk(1, 0, s.tree.leaves, 0, from)
	}
}

// walk searches the subtree of a node, which covers the leaves
// [first, first+width), and visits only leaves in [from, to). It returns false
// if the search must stop.
func (s *search) walk(node, first, width, from, to int) bool {
	if first >= to || first+width <= from {
		return true
	}
	s.visitsLeft--
	if s.visitsLeft < 0 {
		return false
	}
	if !s.demand.Fits(s.tree.nodes[node][s.index]) {
		return true
	}
	if width == 1 {
		return s.visit(first)
	}
	half := width / 2
	if !s.walk(2*node, first, half, from, to) {
		return false
	}
	return s.walk(2*node+1, first+half, half, from, to)
}
