// Package configuration parses the documents that operators publish (templates and
// instances with their parameters) into a validated Snapshot. All processes and
// `pinevane check` run the same code, so that a revision is either accepted or
// rejected everywhere.
package configuration

import (
	"bytes"
	"math"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"

	"pinevane.example/pinevane/internal/fault"
)

// Kind is the kind of object that a template renders to.
type Kind string

// The kinds of a template's body.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
	KindTenant  Kind = "tenant"
	KindRollout Kind = "rollout"
)

// ParameterType is the type of a template parameter.
type ParameterType string

// The parameter types.
const (
	TypeString  ParameterType = "string"
	TypeNumber  ParameterType = "number"
	TypeInteger ParameterType = "integer"
	TypeBoolean ParameterType = "boolean"
	TypeList    ParameterType = "list"
)

// Parameter declares a value that an instance may set.
type Parameter struct {
	Type        ParameterType `yaml:"type"`
	Unit        string        `yaml:"unit"`
	Description string        `yaml:"description"`
	// Default is used when an instance does not set the parameter; without a default the
	// parameter is required.
	Default any      `yaml:"default"`
	Minimum *float64 `yaml:"minimum"`
	Maximum *float64 `yaml:"maximum"`
	Allowed []string `yaml:"allowed"`
}

// Template is a document body with declared parameters.
type Template struct {
	Template   string               `yaml:"template"`
	Kind       Kind                 `yaml:"kind"`
	Parameters map[string]Parameter `yaml:"parameters"`
	Body       map[string]any       `yaml:"body"`

	document string
}

// Instance sets the parameters of a template.
type Instance struct {
	Instance   string         `yaml:"instance"`
	Template   string         `yaml:"from"`
	Parameters map[string]any `yaml:"parameters"`

	document string
}

// MaximumDocumentBytes is the maximum size of a value in the configuration service.
const MaximumDocumentBytes = 1 << 20

type documentHeader struct {
	Template string `yaml:"template"`
	Instance string `yaml:"instance"`
}

type faultList struct {
	list []*fault.InvalidDocument
}

func (f *faultList) add(document, path, reason string) {
	f.list = append(f.list, &fault.InvalidDocument{Document: document, Path: path, Reason: reason})
}

func decodeStrict(data []byte, target any) error {
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(target)
}

func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}

func parseDocument(key string, data []byte, found *faultList) (*Template, *Instance) {
	if len(data) > MaximumDocumentBytes {
		found.add(key, "document", "larger than 1 MiB")
		return nil, nil
	}
	var header documentHeader
	if err := yaml.Unmarshal(data, &header); err != nil {
		found.add(key, "document", firstLine(err))
		return nil, nil
	}
	switch {
	case header.Template != "":
		return parseTemplate(key, data, found), nil
	case header.Instance != "":
		return nil, parseInstance(key, data, found)
	}
	found.add(key, "document", "has neither a template nor an instance name")
	return nil, nil
}

func parseTemplate(key string, data []byte, found *faultList) *Template {
	template := &Template{document: key}
	if err := decodeStrict(data, template); err != nil {
		found.add(key, "document", firstLine(err))
		return nil
	}
	switch template.Kind {
	case KindModel, KindService, KindTenant, KindRollout:
	default:
		found.add(key, "kind", "must be model, service, tenant or rollout, is "+string(template.Kind))
		return nil
	}
	before := len(found.list)
	for name, parameter := range template.Parameters {
		path := "parameters." + name
		checkDeclaration(key, path, parameter, found)
	}
	for path, name := range references(template.Body, "body") {
		if _, declared := template.Parameters[name]; !declared {
			found.add(key, path, "refers to the undeclared parameter "+name)
		}
	}
	if len(found.list) > before {
		return nil
	}
	return template
}

func checkDeclaration(key, path string, parameter Parameter, found *faultList) {
	switch parameter.Type {
	case TypeString, TypeNumber, TypeInteger, TypeBoolean, TypeList:
	default:
		found.add(key, path+".type", "must be string, number, integer, boolean or list, is "+string(parameter.Type))
		return
	}
	if parameter.Default == nil {
		return
	}
	if reason := parameter.check(parameter.Default); reason != "" {
		found.add(key, path+".default", reason)
	}
}

func parseInstance(key string, data []byte, found *faultList) *Instance {
	instance := &Instance{document: key}
	if err := decodeStrict(data, instance); err != nil {
		found.add(key, "document", firstLine(err))
		return nil
	}
	return instance
}

var reference = regexp.MustCompile(`^\$\{([A-Za-z][A-Za-z0-9]*)\}$`)

// references maps the path of each "${name}" scalar to its parameter name.
func references(node any, path string) map[string]string {
	result := map[string]string{}
	collectReferences(node, path, result)
	return result
}

func collectReferences(node any, path string, result map[string]string) {
	switch value := node.(type) {
	case string:
		if match := reference.FindStringSubmatch(value); match != nil {
			result[path] = match[1]
		}
	case map[string]any:
		for key, child := range value {
			collectReferences(child, path+"."+key, result)
		}
	case []any:
		for _, child := range value {
			collectReferences(child, path+"[]", result)
		}
	}
}

// substitute returns a copy of node with each "${name}" scalar replaced by its value.
func substitute(node any, values map[string]any) any {
	switch value := node.(type) {
	case string:
		if match := reference.FindStringSubmatch(value); match != nil {
			return values[match[1]]
		}
		return value
	case map[string]any:
		result := make(map[string]any, len(value))
		for key, child := range value {
			result[key] = substitute(child, values)
		}
		return result
	case []any:
		result := make([]any, 0, len(value))
		for _, child := range value {
			result = append(result, substitute(child, values))
		}
		return result
	}
	return node
}

// check returns the reason why a value is invalid for the parameter, or "".
func (p Parameter) check(value any) string {
	switch p.Type {
	case TypeString:
		return p.checkString(value)
	case TypeBoolean:
		if _, ok := value.(bool); !ok {
			return "must be a boolean"
		}
	case TypeList:
		if _, ok := value.([]any); !ok {
			return "must be a list"
		}
	case TypeNumber, TypeInteger:
		return p.checkNumber(value)
	}
	return ""
}

func (p Parameter) checkString(value any) string {
	text, ok := value.(string)
	if !ok {
		return "must be a string"
	}
	if len(p.Allowed) == 0 {
		return ""
	}
	for _, allowed := range p.Allowed {
		if text == allowed {
			return ""
		}
	}
	return "must be one of " + strings.Join(p.Allowed, ", ") + ", is " + text
}

func (p Parameter) checkNumber(value any) string {
	number, ok := asNumber(value)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		return "must be a number" + p.unitSuffix()
	}
	if p.Type == TypeInteger && number != math.Trunc(number) {
		return "must be a whole number" + p.unitSuffix()
	}
	if p.Minimum != nil && number < *p.Minimum {
		return "is " + formatNumber(number) + ", under the minimum " + formatNumber(*p.Minimum) + p.unitSuffix()
	}
	if p.Maximum != nil && number > *p.Maximum {
		return "is " + formatNumber(number) + ", over the maximum " + formatNumber(*p.Maximum) + p.unitSuffix()
	}
	return ""
}

func (p Parameter) unitSuffix() string {
	if p.Unit == "" {
		return ""
	}
	return " " + p.Unit
}
