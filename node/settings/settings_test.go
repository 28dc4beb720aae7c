package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/basilferry/basilferry/core/domain"
)

const ownNodeSection = `"node": {"id": "n1", "domain": "volos", "http_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2"},`

const validFile = `{
  // comment
  ` + ownNodeSection + `
  "cluster": {
    "domains": ["volos", "lamia"],
    "nodes": [
      {"id": "n1", "domain": "volos", "http_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2"},
      {"id": "n2", "domain": "lamia", "http_address": "127.0.0.1:3", "peer_address": "127.0.0.1:4"},
    ],
  },
  "platform": {"log_url": "http://127.0.0.1:5", "vm_list_url": "http://127.0.0.1:6"},
  "limits": {"max_deadline": "2s"},
  "log": {"level": "warn"},
  "objectives": [{"kind": "urgent", "target": 0.9, "latency": "1s"}],
  "embedded": {"workers_per_domain": 4, "seed": 3},
}`

// Guards against accepting invalid files, and against problems with a wrong
// position or without a remedy.
func TestInvalidFilesAreReported(t *testing.T) {
	// The character ^ in the replacement marks where the problem is reported.
	tests := []struct {
		name, old, new, text string
	}{
		{"syntax", `{"max_deadline": "2s"}`, `["max_deadline"^: "2s"}`, "not valid JSON"},
		{"cut off", `"seed": 3},` + "\n}", `"seed": 3^`, "not valid JSON"},
		{"misspelt section", `"limits"`, `^"limit"`, `nearest valid name is "limits"`},
		{"misspelt field", `"max_deadline"`, `^"max_dedline"`, `nearest valid name is "max_deadline"`},
		{"wrong case", `"seed"`, `^"Seed"`, `nearest valid name is "seed"`},
		{"field twice", `"seed": 3`, `"seed": 3, ^"seed": 4`, "appears twice"},
		{"missing section", "{\n  // comment\n  " + ownNodeSection, "^{\n", "field node is missing"},
		{"missing field", `{"log_url": "http://127.0.0.1:5", `, `^{`, "field platform.log_url is missing"},
		{"wrong type", `"seed": 3`, `"seed": ^"3"`, "embedded.seed has type string"},
		{"section is text", `{"level": "warn"}`, `^"warn"`, "log has type string"},
		{"fraction", `"seed": 3`, `"seed": ^3.5`, "embedded.seed"},
		{"fraction of zero", `"seed": 3`, `"seed": ^3.0`, "whole numbers"},
		{"out of range", `"workers_per_domain": 4`, `"workers_per_domain": ^0`, "minimum"},
		{"target of one", `0.9`, `^1`, "objectives.0.target is out of range"},
		{"unknown kind", `"kind": "urgent"`, `"kind": ^"urgnt"`, "use urgent, batch, watch"},
		{"unknown level", `"warn"`, `^"loud"`, "use debug, info, warn, error"},
		{"duration without unit", `"2s"`, `^"2"`, "not a duration"},
		{"negative duration", `"1s"`, `^"-1s"`, "not a duration"},
		{"zero deadline", `"2s"`, `^"0s"`, "is zero"},
		{"host name", `"http://127.0.0.1:5"`, `^"http://log:5"`, "http://ip:port"},
		{"no port", `"127.0.0.1:4"`, `^"127.0.0.1"`, "ip:port"},
		{"port zero", `"127.0.0.1:3"`, `^"127.0.0.1:0"`, "has port 0"},
		{"any interface", `"127.0.0.1:3"`, `^"0.0.0.0:3"`, "one interface"},
		{"name with dash", `"volos", "lamia"]`, `"volos", ^"la-mia"]`, "is not a name"},
		{"domain without node", `"volos", "lamia"]`, `"volos", "lamia", ^"larissa"]`, "has no node"},
		{"unknown domain", `"id": "n2", "domain": "lamia"`, `"id": "n2", "domain": ^"lania"`, "not in cluster.domains"},
		{"domain twice", `"volos", "lamia"]`, `"volos", "lamia", ^"volos"]`, "listed twice"},
		{"node id with space", `"n2"`, `^"n 2"`, "is not a node id"},
		{"node id twice", `"n2"`, `^"n1"`, "used twice"},
		{"address twice", `"127.0.0.1:3"`, `^"127.0.0.1:4"`, "is that of"},
		{"own node unlisted", `"node": {"id": "n1"`, `"node": {"id": ^"n9"`, "not in cluster.nodes"},
		{"own address differs", `"peer_address": "127.0.0.1:2"`, `"peer_address": ^"127.0.0.1:9"`, "for this node"},
		{"stop before deadline", `{"max_deadline": "2s"}`, `^{"max_deadline": "60s"}`, "stop_timeout 45s is below"},
		{"two objectives", `"latency": "1s"}`, `"latency": "1s"}, {"kind": ^"urgent", "target": 0.5}`, "two objectives"},
		{"latency of watch", `"kind": "urgent", "target": 0.9, `, `"kind": "watch", "target": 0.9, "latency": ^"1s"}, {"kind": "batch", "target": 0.9, `, "leave latency out"},
		{"latency above deadline", `"latency": "1s"`, `"latency": ^"3s"`, "above max_deadline"},
		{"rack above domain", `"seed": 3`, `"workers_per_rack": ^5`, "workers_per_rack 5 is above"},
		{"nodes per domain", `"seed": 3`, `"nodes_per_domain": ^2`, "cluster.nodes has 1 nodes"},
	}
	assert.DeepEqual(t, Check([]byte(validFile)), []Problem(nil))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			marked := strings.Replace(validFile, test.old, test.new, 1)
			before, after, found := strings.Cut(marked, "^")
			assert.Assert(t, found)
			place := fmt.Sprintf("%d:%d:", strings.Count(before, "\n")+1, len(before)-strings.LastIndex(before, "\n"))
			problems := Check([]byte(before + after))
			i := slices.IndexFunc(problems, func(p Problem) bool { return strings.HasPrefix(p.String(), place) })
			assert.Assert(t, i >= 0, "%s: %v", place, problems)
			p := problems[i]
			assert.Assert(t, cmp.Contains(p.String(), test.text))
			assert.Assert(t, p.Remedy != "")
		})
	}
}

// Guards against a check that stops at the first problem, and against further
// problems that result from a value already reported.
func TestAllProblemsAreReported(t *testing.T) {
	broken := strings.NewReplacer(`"2s"`, `"2"`, `"n2"`, `"n1"`, `"seed"`, `"sed"`, `"warn"`, `"loud"`).Replace(validFile)
	problems := Check([]byte(broken))
	assert.Equal(t, len(problems), 4, "%v", problems)
	path := filepath.Join(t.TempDir(), "broken.json")
	assert.NilError(t, os.WriteFile(path, []byte(broken), 0o600))
	_, err := Load(path)
	assert.Equal(t, domain.KindOf(err), domain.KindBadRequest)
	assert.Equal(t, strings.Count(err.Error(), path+":"), 4)
}

// Guards against secrets in the text of a problem, which is logged.
func TestProblemsDoNotContainTokens(t *testing.T) {
	broken := strings.Replace(validFile, `"log":`, `"security": {"operator_token": "se cret"}, "log":`, 1)
	assert.Assert(t, !strings.Contains(fmt.Sprint(Check([]byte(broken))), "cret"))
}

// Guards against losing the defaults of a section of which the file sets only
// some values.
func TestDefaultsFillMissingFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "valid.json")
	assert.NilError(t, os.WriteFile(path, []byte(validFile), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.MaxDeadline, Duration(2*time.Second))
	assert.Equal(t, s.Limits.StopTimeout, Defaults().Limits.StopTimeout)
	assert.Equal(t, s.Log, Log{Level: "warn", Format: "text"})
	assert.Equal(t, s.Cluster.ShardsPerDomain, 2)
	assert.Equal(t, len(s.SLOs), 1)
	assert.Equal(t, s.Embedded.Seed, uint64(3))
	assert.Equal(t, s.Embedded.Worker, DefaultEmbedded().Worker)
	_, err = Load(path + "x")
	assert.Equal(t, domain.KindOf(err), domain.KindNotFound)
}

// Guards against sample files that do not load.
func TestSamplesAreValid(t *testing.T) {
	for name, domains := range map[string]int{"agrodaneio": 3, "kitakaze": 4} {
		s, err := Load("../../samples/" + name + ".json")
		assert.NilError(t, err)
		assert.Equal(t, len(s.Cluster.Domains), domains)
	}
}

// Guards against a schema, structs and a documentation page that list different
// fields.
func TestSchemaMatchesStructsAndDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	assert.NilError(t, err)
	var walk func(typ reflect.Type, path []string)
	walk = func(typ reflect.Type, path []string) {
		for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice {
			if typ.Kind() == reflect.Slice {
				path = append(slices.Clone(path), "0")
			}
			typ = typ.Elem()
		}
		if typ.Kind() != reflect.Struct {
			return
		}
		var names []string
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			names = append(names, name)
			child := append(slices.Clone(path), name)
			assert.Assert(t, cmp.Contains(string(page), "`"+strings.ReplaceAll(strings.Join(child, "."), ".0.", "[].")+"`"))
			walk(typ.Field(i).Type, child)
		}
		assert.DeepEqual(t, fieldNamesAt(path), slices.Sorted(slices.Values(names)))
	}
	walk(reflect.TypeFor[Settings](), nil)
	text, err := json.Marshal(DefaultSLOs())
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(text), `"latency":"3.5s"`))
}
