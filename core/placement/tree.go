package placement

import "github.com/basilferry/basilferry/core/domain"

// tree is a complete binary tree over the workers' rooms. Each inner node has
// the largest room of its leaves in each dimension, so a subtree in which a
// demand cannot fit is skipped.
type tree struct {
	leaves int // a power of two
	nodes  []freeByKind
}

func newTree(leaves int) *tree {
	t := &tree{leaves: leaves, nodes: make([]freeByKind, 2*leaves)}
	for i := range t.nodes {
		t.nodes[i] = noneFree
	}
	return t
}

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
		m[k] = maximum(a[k], b[k])
	}
	return m
}

// search visits leaves on which the demand fits, beginning at the leaf from
// and wrapping around, until visit returns false or the visits are used up.
type search struct {
	tree       *tree
	index      int
	demand     domain.Resources
	visitsLeft int
	visit      func(leaf int) bool
}

func (s *search) run(from int) {
	if s.walk(1, 0, s.tree.leaves, from, s.tree.leaves) {
		s.walk(1, 0, s.tree.leaves, 0, from)
	}
}

// walk returns false once the search is over. The node covers the leaves
// [first, first+width); only those in [from, to) are visited.
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
