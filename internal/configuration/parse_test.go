package configuration

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
)

var version = monotonic.Version{Epoch: 1, Revision: 1}

func example(t *testing.T, name string) map[string][]byte {
	t.Helper()
	documents, err := ReadDirectory(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	return documents
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"yaad-voices", "toapa"} {
		snapshot, err := Parse(version, example(t, name))
		require.NoError(t, err)
		assert.Len(t, snapshot.Tenants, 10)
		assert.Len(t, snapshot.Models, 1)
	}
}

func TestFaultsReportDocumentPathAndReason(t *testing.T) {
	const tenant = "tenants/parish-schools.yaml"
	cases := []struct {
		name     string
		document string
		old, new string
		path     string
		reason   string
	}{
		{"undeclared parameter", tenant, "  priority: 6", "  colour: red", "parameters.colour", "not declared"},
		{"out of bounds", tenant, "  priority: 6", "  priority: 12", "parameters.priority", "over the maximum 9"},
		{"not a number", tenant, "  priority: 6", "  priority: high", "parameters.priority", "must be a number"},
		{"dangling model", tenant, "models: [dialect]", "models: [creole]", "models[0]", `no model is named "creole"`},
		{"missing template", tenant, "from: tenant-large", "from: tenant-huge", "from", "no template is named"},
		{"unknown field", tenant, "from: tenant-large", "from: tenant-large\nextra: 1", "document", "unknown field"},
		{"missing parameter", "models/dialect.yaml", "  version: \"2026-11\"\n", "", "parameters.version", "required"},
		{"bad digest", "models/dialect.yaml", "  manifest: ", "  manifest: x", "manifest", "pattern"},
		{"undeclared reference", "templates/service-plain.yaml", "repeatable: ${repeatable}", "repeatable: ${again}", "body.repeatable", "undeclared parameter again"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			documents := example(t, "yaad-voices")
			changed := strings.Replace(string(documents[c.document]), c.old, c.new, 1)
			require.NotEqual(t, string(documents[c.document]), changed)
			documents[c.document] = []byte(changed)
			_, err := Parse(version, documents)
			var invalid *fault.InvalidConfiguration
			require.True(t, errors.As(err, &invalid), "%v", err)
			first := invalid.Faults[0]
			assert.Equal(t, c.document, first.Document)
			assert.Equal(t, c.path, first.Path)
			assert.Contains(t, first.Reason, c.reason)
		})
	}
}

func TestEveryFaultIsReported(t *testing.T) {
	documents := example(t, "toapa")
	documents["tenants/a.yaml"] = []byte("instance: a\nfrom: nowhere\n")
	documents["tenants/b.yaml"] = []byte("instance: b\nfrom: nowhere\n")
	documents["broken.yaml"] = []byte("a: [")
	_, err := Parse(version, documents)
	var invalid *fault.InvalidConfiguration
	require.True(t, errors.As(err, &invalid))
	assert.Len(t, invalid.Faults, 3)
}

func TestCachedParseEqualsFreshParse(t *testing.T) {
	parser := NewParser()
	documents := example(t, "yaad-voices")
	steps := []func(map[string][]byte){
		func(map[string][]byte) {},
		func(d map[string][]byte) { delete(d, "tenants/radio-history.yaml") },
		func(d map[string][]byte) { d["tenants/x.yaml"] = []byte("instance: x\nfrom: tenant-small\n") },
		func(d map[string][]byte) { delete(d, "tenants/x.yaml") },
		func(d map[string][]byte) {
			key := "templates/tenant-small.yaml"
			d[key] = []byte(strings.Replace(string(d[key]), "default: 60,", "default: 61,", 1))
		},
		func(d map[string][]byte) { delete(d, "templates/tenant-large.yaml") },
	}
	for i, step := range steps {
		step(documents)
		cached, errCached := parser.Parse(version, maps.Clone(documents))
		fresh, errFresh := Parse(version, maps.Clone(documents))
		assert.Equal(t, errFresh, errCached, "step %d", i)
		assert.Equal(t, fresh, cached, "step %d", i)
	}
}

func TestRejectsDocumentsOverTheLimit(t *testing.T) {
	documents := example(t, "toapa")
	documents["big.yaml"] = make([]byte, MaximumDocumentBytes+1)
	_, err := Parse(version, documents)
	assert.ErrorContains(t, err, "larger than 1 MiB")
}

func FuzzParse(f *testing.F) {
	for _, path := range []string{"templates/tenant-large.yaml", "tenants/parish-schools.yaml", "models/dialect.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", "yaad-voices", path))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := Parse(version, map[string][]byte{"fuzzed.yaml": data})
		if (snapshot == nil) == (err == nil) {
			t.Fatal("Parse must return either a snapshot or an error")
		}
	})
}
