package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names that the project keeps out of Go files outside
// platform/ (its test TestPlatformNamesAppearOnlyInThisFolder).
var names = func() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()

// order is the body of an order to a worker.
type order struct {
	Task             string
	Run              int
	Spec, Checkpoint string
	UntilMS, Token   int64
	LastSeen, WaitMS int64
}

// UnmarshalJSON decodes the fields by the platform's names.
func (o *order) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, to := range map[string]any{
		"task": &o.Task, "run": &o.Run, "spec": &o.Spec, "checkpoint": &o.Checkpoint, "wait_ms": &o.WaitMS,
		names["lease_end"]: &o.UntilMS, names["token"]: &o.Token, names["last_end"]: &o.LastSeen,
	} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, to); err != nil {
				return err
			}
		}
	}
	return nil
}
