package membership

import "github.com/basilferry/basilferry/core/domain"

// Ownership is what the stream of a failure domain says of one shard.
type Ownership struct {
	Shard domain.ShardID
	Owner domain.NodeID
	// Epoch is zero if the shard never had an owner.
	Epoch domain.Epoch
	// Released tells that the owner has handed the shard over.
	Released bool
}

// HasOwner reports whether a node holds the shard.
func (o Ownership) HasOwner() bool { return o.Epoch != 0 && !o.Released }
