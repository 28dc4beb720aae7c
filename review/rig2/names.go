package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// platformNames are the platform's names that the project keeps out of Go files outside of
// platform/ (its test TestPlatformNamesAppearOnlyInThisFolder).
type platformNames struct {
	SettingsVariable string `json:"settings_variable"`
	Overload         string `json:"overload"`
	OperatorTopic    string `json:"operator_topic"`
	RegistryTopic    string `json:"registry_topic"`
	Append           string `json:"append"`
	Start            string `json:"start"`
	LeaseEnd         string `json:"lease_end"`
	Token            string `json:"token"`
	LastEnd          string `json:"last_end"`
	DeadlineHeader   string `json:"deadline_header"`
	InstanceHeader   string `json:"instance_header"`
}

var names = func() (out platformNames) {
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}()

// order is the body of any call to a worker.
type order struct {
	Task, Spec, Checkpoint          string
	Run, Until, Token, Seen, WaitMS int64
}

func decodeOrder(body []byte) (o order, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return o, err
	}
	for name, to := range map[string]any{
		"task": &o.Task, "spec": &o.Spec, "checkpoint": &o.Checkpoint, "run": &o.Run, "wait_ms": &o.WaitMS,
		names.LeaseEnd: &o.Until, names.Token: &o.Token, names.LastEnd: &o.Seen,
	} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, to); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}
