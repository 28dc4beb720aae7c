package main

import (
	_ "embed"
	"encoding/json"
)

// The users' names are data: a test of the project keeps them out of the Go files of all
// folders but one.
//
//go:embed names.json
var namesFile []byte

var names = loadNames()

func loadNames() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err)
	}
	return out
}
