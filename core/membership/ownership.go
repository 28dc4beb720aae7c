package membership

import "github.com/basilferry/basilferry/core/domain"

// Ownership is the owner of one shard according to the log stream of its
// failure domain.
type Ownership struct {
	Shard domain.ShardID
	Owner domain.NodeID
	// Epoch is zero if the shard never had an owner.
	Epoch domain.Epoch
	// Released is true if the owner has given up the shard on a planned stop.
	Released bool
}

// HasOwner reports whether a node owns the shard.
func (o Ownership) HasOwner() bool { return o.Epoch != 0 && !o.Released }
