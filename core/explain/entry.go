package explain

import "time"

// Entry is the reason for one decision.
type Entry struct {
	At time.Time `json:"at"`
	// Node is the node that made the decision.
	Node   string `json:"node"`
	Reason string `json:"reason"`
}
