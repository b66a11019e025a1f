package configuration

import (
	"bytes"
	"maps"
	"slices"
	"strconv"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
)

// parsed is one document as it was read, with its faults.
type parsed struct {
	data     []byte
	template *Template
	instance *Instance
	faults   faults
}

// rendered is one instance's value, nil when it has faults.
type rendered struct {
	template *Template
	instance *Instance
	value    any
	faults   faults
}

// Parser turns documents into snapshots and remembers what it read, so that a
// revision costs work for the documents that it changes. The result is the same
// as without the memory. A Parser is not safe for concurrent use.
type Parser struct {
	documents map[string]*parsed
	instances map[string]rendered
}

// NewParser returns a parser that remembers nothing.
func NewParser() *Parser {
	return &Parser{documents: map[string]*parsed{}, instances: map[string]rendered{}}
}

// Parse checks a whole set of documents, keyed by path, and renders them to a
// Snapshot. The error is a *fault.InvalidConfiguration that lists every fault.
func (p *Parser) Parse(version monotonic.Version, documents map[string][]byte) (*Snapshot, error) {
	found := &faults{}
	keys := slices.Sorted(maps.Keys(documents))
	p.forget(documents)
	for _, key := range keys {
		p.read(key, documents[key], found)
	}
	templates := p.templates(keys, found)
	builder := newBuilder(version, found)
	for _, key := range keys {
		if item, ok := p.render(key, templates, found); ok {
			builder.add(item)
		}
	}
	builder.checkReferences()
	if len(found.list) > 0 {
		return nil, &fault.InvalidConfiguration{Faults: found.list}
	}
	return builder.snapshot, nil
}

// forget drops what was remembered of documents that are gone.
func (p *Parser) forget(documents map[string][]byte) {
	for key := range p.documents {
		if _, kept := documents[key]; !kept {
			delete(p.documents, key)
			delete(p.instances, key)
		}
	}
}

func (p *Parser) read(key string, data []byte, found *faults) {
	known := p.documents[key]
	if known == nil || !bytes.Equal(known.data, data) {
		known = &parsed{data: data}
		known.template, known.instance = parseDocument(key, data, &known.faults)
		p.documents[key] = known
		delete(p.instances, key)
	}
	found.list = append(found.list, known.faults.list...)
}

func (p *Parser) templates(keys []string, found *faults) map[string]*Template {
	templates := map[string]*Template{}
	for _, key := range keys {
		template := p.documents[key].template
		if template == nil {
			continue
		}
		if earlier, twice := templates[template.Template]; twice {
			found.add(key, "template", "name is already used by "+earlier.document)
			continue
		}
		templates[template.Template] = template
	}
	return templates
}

// render returns the value of an instance document; false when the document is
// no instance or has faults.
func (p *Parser) render(key string, templates map[string]*Template, found *faults) (rendered, bool) {
	instance := p.documents[key].instance
	if instance == nil {
		return rendered{}, false
	}
	template, known := templates[instance.Template]
	if !known {
		found.add(key, "from", "no template is named "+strconv.Quote(instance.Template))
		return rendered{}, false
	}
	item, remembered := p.instances[key]
	if !remembered || item.template != template || item.instance != instance {
		item = rendered{template: template, instance: instance}
		if body, ok := render(template, instance, &item.faults); ok {
			item.value = decode(template.Kind, instance, body, &item.faults)
		}
		p.instances[key] = item
	}
	found.list = append(found.list, item.faults.list...)
	return item, item.value != nil
}
