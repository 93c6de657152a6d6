package parser_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"apricotflow/internal/manifest/parser"
	"apricotflow/internal/manifest/resolver"
)

const validManifest = `{
  "generation": 7, "deployment": "test",
  "failure-domains": [{"name": "a", "region": "r", "state": "open"}, {"name": "b", "region": "r", "state": "open"}],
  "services": [{"name": "s", "targets": [
    {"name": "t1", "address": "127.0.0.1:1001", "failure-domain": "a", "state": "serving", "slots": 2, "connections": 25, "cold-limit": 1},
    {"name": "t2", "address": "127.0.0.1:1002", "failure-domain": "b", "state": "serving", "slots": 3, "connections": 40, "cold-limit": 1}
  ]}],
  "indexes": [{"name": "x", "versions": [{"version": 4, "shards": [
    {"name": "s1", "documents": 10, "replicas": ["t1", "t2"]},
    {"name": "s2", "documents": 20, "replicas": ["t2"]}
  ]}]}],
  "query-classes": [{"name": "q", "index": "x", "priority": "urgent", "idempotent": false, "routing": "all", "deadline-ms": 500}],
  "limits": {"extra-load-percent": 2, "hedge-quantile-percent": 95, "owners": 2, "lease-ms": 3000, "ticket-ms": 60000}
}`

// replaceOnce replaces the first occurrence of old. It fails the test if there is none, since the case would then check
// nothing.
func replaceOnce(t *testing.T, raw, old, replacement string) []byte {
	t.Helper()
	assert.Assert(t, strings.Contains(raw, old), "%q is not in the document", old)
	return []byte(strings.Replace(raw, old, replacement, 1))
}

func paths(t *testing.T, err error) []string {
	t.Helper()
	var invalid *parser.InvalidError
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	paths := make([]string, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		paths = append(paths, p.Path)
	}
	return paths
}

// Guards against a valid manifest that is refused, and against a digest that depends on more than the raw bytes.
func TestParseAcceptsValidManifest(t *testing.T) {
	m, err := parser.Parse([]byte(validManifest))
	assert.NilError(t, err)
	assert.Equal(t, m.Generation(), 7)
	assert.Equal(t, m.Digest(), parser.Digest([]byte(validManifest)))
	assert.Equal(t, len(m.Digest()), 32)
}

// Guards against invalid manifests that are accepted, and against problems reported with a wrong JSON path.
func TestParseReportsPathOfInvalidValue(t *testing.T) {
	cases := []struct{ name, old, replacement, path string }{
		{"unknown field", `"slots": 2`, `"slots": 2, "slot": 3`, "$.services[0].targets[0].slot"},
		{"field in other case", `"slots": 2`, `"Slots": 2`, "$.services[0].targets[0].Slots"},
		{"missing field", `"cold-limit": 1}`, `"state": "serving"}`, "$.services[0].targets[0].cold-limit"},
		{"duplicate key", `"slots": 2`, `"slots": 1, "slots": 2`, "$.services[0].targets[0].slots"},
		{"escaped duplicate key", `"slots": 2`, `"slots": 1, "\u0073lots": 2`, "$.services[0].targets[0].slots"},
		{"slots of zero", `"slots": 2`, `"slots": 0`, "$.services[0].targets[0].slots"},
		{"cold limit of zero", `"cold-limit": 1`, `"cold-limit": 0`, "$.services[0].targets[0].cold-limit"},
		{"connections of zero", `"connections": 25`, `"connections": 0`, "$.services[0].targets[0].connections"},
		{"connections too few for the owners", `"connections": 25`, `"connections": 3`, "$.services[0].targets[0].connections"},
		{"cold limit above slots", `"cold-limit": 1`, `"cold-limit": 3`, "$.services[0].targets[0].cold-limit"},
		{"fraction", `"slots": 2`, `"slots": 1.5`, "$.services[0].targets[0].slots"},
		{"integer written as fraction", `"slots": 2`, `"slots": 2.0`, "$.services[0].targets[0].slots"},
		{"number beyond 64 bits", `"generation": 7`, `"generation": 99999999999999999999`, "$.generation"},
		{"generation of zero", `"generation": 7`, `"generation": 0`, "$.generation"},
		{"owners of zero", `"owners": 2`, `"owners": 0`, "$.limits.owners"},
		{"string for number", `"lease-ms": 3000`, `"lease-ms": "3000"`, "$.limits.lease-ms"},
		{"null", `"lease-ms": 3000`, `"lease-ms": null`, "$.limits.lease-ms"},
		{"host name for IP", `127.0.0.1:1001`, `localhost:1001`, "$.services[0].targets[0].address"},
		{"IP out of range", `127.0.0.1:1001`, `127.0.0.256:1001`, "$.services[0].targets[0].address"},
		{"port out of range", `127.0.0.1:1001`, `127.0.0.1:65536`, "$.services[0].targets[0].address"},
		{"port of zero", `127.0.0.1:1001`, `127.0.0.1:0`, "$.services[0].targets[0].address"},
		{"duplicate address", `127.0.0.1:1002`, `127.0.0.1:1001`, "$.services[0].targets[1].address"},
		{"duplicate address in other notation", `127.0.0.1:1002`, `[::ffff:7f00:1]:1001`, "$.services[0].targets[1].address"},
		{"duplicate target", `"name": "t2"`, `"name": "t1"`, "$.services[0].targets[1].name"},
		{"unknown failure domain", `"failure-domain": "b"`, `"failure-domain": "c"`, "$.services[0].targets[1].failure-domain"},
		{"duplicate failure domain", `{"name": "b"`, `{"name": "a"`, "$.failure-domains[1].name"},
		{"unknown state", `"state": "serving"`, `"state": "running"`, "$.services[0].targets[0].state"},
		{"duplicate shard", `"name": "s2"`, `"name": "s1"`, "$.indexes[0].versions[0].shards[1].name"},
		{"duplicate replica", `["t1", "t2"]`, `["t1", "t2", "t1"]`, "$.indexes[0].versions[0].shards[0].replicas[2]"},
		{"unknown replica", `["t2"]`, `["t3"]`, "$.indexes[0].versions[0].shards[1].replicas[0]"},
		{"no replica", `["t2"]`, `[]`, "$.indexes[0].versions[0].shards[1].replicas"},
		{"too many documents", `"documents": 20`, `"documents": 9007199254740991`, "$.indexes[0].versions[0].shards[1].documents"},
		{"version without shards", `{"version": 4,`, `{"version": 5, "shards": []}, {"version": 4,`, "$.indexes[0].versions[0].shards"},
		{"duplicate version", `{"version": 4,`, `{"version": 4, "shards": [{"name": "s", "documents": 1, "replicas": ["t1"]}]}, {"version": 4,`, "$.indexes[0].versions[1].version"},
		{"unknown index", `"index": "x"`, `"index": "y"`, "$.query-classes[0].index"},
		{"deadline beyond the ticket", `"deadline-ms": 500`, `"deadline-ms": 60001`, "$.query-classes[0].deadline-ms"},
		{"name with a quote", `"deployment": "test"`, `"deployment": "te\"st"`, "$.deployment"},
		{"trailing data", "\n}", "\n} {}", "$"},
		{"cut off", `"limits"`, ``, "$.query-classes"},
		{"nested too deep", `"generation": 7`, `"generation": ` + strings.Repeat("[", 70) + strings.Repeat("]", 70), "$.generation" + strings.Repeat("[0]", 63)},
		{"invalid UTF-8", `"test"`, "\"te\xffst\"", "$"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parser.Parse(replaceOnce(t, validManifest, c.old, c.replacement))
			assert.Assert(t, slices.Contains(paths(t, err), c.path), "%v", err)
		})
	}
}

const (
	digestOfA = `"00112233445566778899aabbccddeeff"`
	digestOfB = `"ffeeddccbbaa99887766554433221100"`
)

// Guards against tenants with which instances would not do what operators meant, against problems without the path of the
// value, and against a key that is printed because it was entered in place of its digest.
func TestParseReportsPathOfInvalidTenant(t *testing.T) {
	const first, second = `{"name": "acme", "key-digests": [` + digestOfA + `]`, `{"name": "globex", "key-digests": [` + digestOfB + `]`
	for _, c := range []struct{ name, tenants, path string }{
		{"digest of two tenants", first + `}, {"name": "globex", "key-digests": [` + digestOfB + `, ` + digestOfA + `]}`, "$.tenants[1].key-digests[1]"},
		{"empty name", `{"name": "", "key-digests": []}`, "$.tenants[0].name"},
		{"no name", `{"key-digests": []}`, "$.tenants[0].name"},
		{"duplicate name", first + `}, {"name": "acme", "key-digests": []}`, "$.tenants[1].name"},
		{"empty digest", `{"name": "acme", "key-digests": [` + digestOfA + `, ""]}`, "$.tenants[0].key-digests[1]"},
		{"key in place of a digest", `{"name": "acme", "key-digests": ["secret-key"]}`, "$.tenants[0].key-digests[0]"},
		{"number in place of a digest", `{"name": "acme", "key-digests": [7777]}`, "$.tenants[0].key-digests[0]"},
		{"negative rate", first + `, "rate": -0.5}`, "$.tenants[0].rate"},
		{"negative burst", first + `}, ` + second + `, "burst": -1}`, "$.tenants[1].burst"},
		{"negative priority", first + `, "priority": -1}`, "$.tenants[0].priority"},
		{"fraction of a priority", first + `, "priority": 1.5}`, "$.tenants[0].priority"},
		{"infinite rate", first + `}, ` + second + `, "rate": 1e999}`, "$.tenants[1].rate"},
		{"not a number", first + `, "rate": "NaN"}`, "$.tenants[0].rate"},
		{"unknown field", first + `, "limit": 1}`, "$.tenants[0].limit"},
	} {
		_, err := parser.Parse(replaceOnce(t, validManifest, `"deployment"`, `"tenants": [`+c.tenants+`], "deployment"`))
		assert.Assert(t, slices.Contains(paths(t, err), c.path), "%s: %v", c.name, err)
		assert.Assert(t, !strings.Contains(err.Error(), "secret") && !strings.Contains(err.Error(), "7777"), "%s: %v", c.name, err)
	}
	m, err := parser.Parse(replaceOnce(t, validManifest, `"deployment"`, `"tenants": [`+first+`, "rate": 2.5, "burst": 1e1}, `+second+`}], "deployment"`))
	assert.NilError(t, err)
	tenant, found := m.Tenants().ByName("acme")
	assert.Assert(t, found && tenant.Rate == 2.5 && tenant.Burst == 10, "%+v", tenant)
	empty, err := parser.Parse(replaceOnce(t, validManifest, `"deployment"`, `"tenants": [], "deployment"`))
	assert.NilError(t, err)
	assert.Assert(t, empty.Tenants() != nil, "an empty list allows requests without a key")
}

// Guards against a size limit that is off by one from that of the configuration service: a value at the limit is valid,
// and one byte more is refused.
func TestParseRefusesManifestAboveMaxBytes(t *testing.T) {
	atLimit := validManifest + strings.Repeat(" ", parser.MaxBytes-len(validManifest))
	_, err := parser.Parse([]byte(atLimit))
	assert.NilError(t, err)
	_, err = parser.Parse([]byte(atLimit + " "))
	assert.DeepEqual(t, paths(t, err), []string{"$"})
}

// Guards against problems that operators see only after they have fixed others, and against problems listed twice:
// violations of the schema and of the rules must be reported together, each once.
func TestParseReportsEveryProblemOnce(t *testing.T) {
	raw := string(replaceOnce(t, validManifest, `"slots": 2`, `"slots": 2, "slot": 3`))
	raw = string(replaceOnce(t, raw, `"failure-domain": "b"`, `"failure-domain": "c"`))
	raw = string(replaceOnce(t, raw, `["t1", "t2"]`, `["t1", "t1"]`))
	got := paths(t, func() error { _, err := parser.Parse([]byte(raw)); return err }())
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{
		"$.indexes[0].versions[0].shards[0].replicas[1]",
		"$.services[0].targets[0].slot",
		"$.services[0].targets[1].failure-domain",
	})
}

// Guards against a manifest that passes the check command although instances ignore it because its generation is lower,
// may ignore it because its generation is the same and its digest decides, or would apply that of another deployment.
func TestCheckSuccessorRequiresRisingGenerationAndSameDeployment(t *testing.T) {
	cases := []struct{ name, old, replacement, path string }{
		{"generation goes down", `"generation": 7`, `"generation": 6`, "$.generation"},
		{"generation stays", `"deadline-ms": 500`, `"deadline-ms": 400`, "$.generation"},
		{"generation rises", `"generation": 7`, `"generation": 8`, ""},
		{"same value", `"generation": 7`, `"generation": 7`, ""},
		{"other deployment", `"generation": 7, "deployment": "test"`, `"generation": 8, "deployment": "other"`, "$.deployment"},
	}
	previous, err := parser.Parse([]byte(validManifest))
	assert.NilError(t, err)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := parser.Parse(replaceOnce(t, validManifest, c.old, c.replacement))
			assert.NilError(t, err)
			problems := resolver.CheckSuccessor(previous, next)
			if c.path == "" {
				assert.Equal(t, len(problems), 0, "%v", problems)
				return
			}
			assert.Equal(t, len(problems), 1, "%v", problems)
			assert.Equal(t, problems[0].Path, c.path)
		})
	}
}

// Guards against a query that mixes two snapshots because the shards of an index version changed in place. Moving
// replicas to other targets must stay possible.
func TestCheckSuccessorRefusesChangedShardsOfVersion(t *testing.T) {
	previous, err := parser.Parse([]byte(validManifest))
	assert.NilError(t, err)
	raw := string(replaceOnce(t, validManifest, `"generation": 7`, `"generation": 8`))
	moved, err := parser.Parse(replaceOnce(t, raw, `["t2"]`, `["t1"]`))
	assert.NilError(t, err)
	assert.Equal(t, len(resolver.CheckSuccessor(previous, moved)), 0)
	changed, err := parser.Parse(replaceOnce(t, raw, `"documents": 20`, `"documents": 21`))
	assert.NilError(t, err)
	problems := resolver.CheckSuccessor(previous, changed)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Path, "$.indexes[0].versions[0].shards")
}

const validMembers = `{"revision": 3, "instances": [
  {"name": "a", "failure-domain": "d", "peer-address": "127.0.0.1:2001", "admin-address": "127.0.0.1:3001", "state": "live"},
  {"name": "b", "failure-domain": "d", "peer-address": "127.0.0.1:2002", "admin-address": "127.0.0.1:3002", "state": "leaving"}],
  "targets": [{"name": "t1", "state": "leaving"}]}`

// Guards against a member list with instances that have no unique name or no usable address.
func TestParseMembersReportsPathOfInvalidValue(t *testing.T) {
	m, err := parser.ParseMembers([]byte(validMembers))
	assert.NilError(t, err)
	assert.Equal(t, len(m.LiveInstances()), 1)
	assert.Equal(t, m.Instances()[1].Name, "b")
	assert.Assert(t, m.IsTargetLeaving("t1"))
	cases := []struct{ name, old, replacement, path string }{
		{"duplicate instance", `"name": "b"`, `"name": "a"`, "$.instances[1].name"},
		{"empty name", `"name": "b"`, `"name": ""`, "$.instances[1].name"},
		{"host name", `127.0.0.1:2002`, `host:2002`, "$.instances[1].peer-address"},
		{"negative revision", `"revision": 3`, `"revision": -1`, "$.revision"},
		{"unknown field", `"revision": 3`, `"revision": 3, "epoch": 1`, "$.epoch"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parser.ParseMembers(replaceOnce(t, validMembers, c.old, c.replacement))
			assert.Assert(t, slices.Contains(paths(t, err), c.path), "%v", err)
		})
	}
}

// BenchmarkParse measures the time to parse a manifest of about 900 kB. Every instance parses every manifest, so that
// this time is overhead of the control plane.
func BenchmarkParse(b *testing.B) {
	var shards strings.Builder
	for i := 0; shards.Len() < 900_000; i++ {
		fmt.Fprintf(&shards, `{"name": "shard-%d", "documents": 10, "replicas": ["t1", "t2"]},`, i)
	}
	raw := []byte(strings.Replace(validManifest, `{"name": "s2"`, shards.String()+`{"name": "s2"`, 1))
	for b.Loop() {
		if _, err := parser.Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}
