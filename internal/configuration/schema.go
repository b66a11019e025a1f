package configuration

import (
	"bytes"
	"embed"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema/*.json
var schemaFiles embed.FS

var compiledSchemas = sync.OnceValue(compileSchemas)

// compileSchemas compiles the embedded schemas. It panics on an invalid schema, which
// is a programming error that fails every test of this package.
func compileSchemas() map[Kind]*jsonschema.Schema {
	compiler := jsonschema.NewCompiler()
	result := map[Kind]*jsonschema.Schema{}
	for _, kind := range []Kind{KindModel, KindService, KindTenant, KindRollout} {
		name := "schema/" + string(kind) + ".json"
		data, err := schemaFiles.ReadFile(name)
		if err != nil {
			panic(err)
		}
		parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
		if err != nil {
			panic(err)
		}
		if err := compiler.AddResource(name, parsed); err != nil {
			panic(err)
		}
		result[kind] = compiler.MustCompile(name)
	}
	return result
}

// checkSchema validates data against the JSON schema of its kind and adds each leaf
// violation to found.
func checkSchema(kind Kind, document string, data []byte, found *faultList) bool {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		found.add(document, "body", err.Error())
		return false
	}
	err = compiledSchemas()[kind].Validate(value)
	if err == nil {
		return true
	}
	violation, ok := err.(*jsonschema.ValidationError)
	if !ok {
		found.add(document, "body", err.Error())
		return false
	}
	addViolations(document, violation, found)
	return false
}

func addViolations(document string, violation *jsonschema.ValidationError, found *faultList) {
	if len(violation.Causes) > 0 {
		for _, cause := range violation.Causes {
			addViolations(document, cause, found)
		}
		return
	}
	path := strings.Join(violation.InstanceLocation, ".")
	if path == "" {
		path = "body"
	}
	printer := message.NewPrinter(language.English)
	found.add(document, path, violation.ErrorKind.LocalizedString(printer))
}
