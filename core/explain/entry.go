package explain

import "time"

// Entry is the reason for one decision.
type Entry struct {
	At     time.Time `json:"at"`
	Node   string    `json:"node"`
	Reason string    `json:"reason"`
}
