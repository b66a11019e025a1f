package configuration

import (
	"bytes"
	"maps"
	"slices"
	"strconv"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
)

// parsedDocument is a parsed document with its faults.
type parsedDocument struct {
	data     []byte
	template *Template
	instance *Instance
	faults   faultList
}

// renderedInstance is the rendered value of an instance; the value is nil if the
// instance has faults.
type renderedInstance struct {
	template *Template
	instance *Instance
	value    any
	faults   faultList
}

// Parser parses documents into snapshots. It caches parsed documents, so that a new
// revision only costs work for the documents that changed. The cache does not affect
// the result. A Parser is not safe for concurrent use.
type Parser struct {
	documents map[string]*parsedDocument
	instances map[string]renderedInstance
}

// NewParser returns a parser with an empty cache.
func NewParser() *Parser {
	return &Parser{documents: map[string]*parsedDocument{}, instances: map[string]renderedInstance{}}
}

// Parse validates a complete set of documents, keyed by path, and renders them to a
// Snapshot. The error is a *fault.InvalidConfiguration that lists all faults.
func (p *Parser) Parse(version monotonic.Version, documents map[string][]byte) (*Snapshot, error) {
	found := &faultList{}
	keys := slices.Sorted(maps.Keys(documents))
	p.dropRemoved(documents)
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

// dropRemoved deletes removed documents from the cache.
func (p *Parser) dropRemoved(documents map[string][]byte) {
	for key := range p.documents {
		if _, kept := documents[key]; !kept {
			delete(p.documents, key)
			delete(p.instances, key)
		}
	}
}

func (p *Parser) read(key string, data []byte, found *faultList) {
	known := p.documents[key]
	if known == nil || !bytes.Equal(known.data, data) {
		known = &parsedDocument{data: data}
		known.template, known.instance = parseDocument(key, data, &known.faults)
		p.documents[key] = known
		delete(p.instances, key)
	}
	found.list = append(found.list, known.faults.list...)
}

func (p *Parser) templates(keys []string, found *faultList) map[string]*Template {
	templates := map[string]*Template{}
	for _, key := range keys {
		template := p.documents[key].template
		if template == nil {
			continue
		}
		if earlier, duplicate := templates[template.Template]; duplicate {
			found.add(key, "template", "name is already used by "+earlier.document)
			continue
		}
		templates[template.Template] = template
	}
	return templates
}

// render renders an instance document. It returns false if the document is not an
// instance or has faults.
func (p *Parser) render(key string, templates map[string]*Template, found *faultList) (renderedInstance, bool) {
	instance := p.documents[key].instance
	if instance == nil {
		return renderedInstance{}, false
	}
	template, known := templates[instance.Template]
	if !known {
		found.add(key, "from", "no template is named "+strconv.Quote(instance.Template))
		return renderedInstance{}, false
	}
	item, cached := p.instances[key]
	if !cached || item.template != template || item.instance != instance {
		item = renderedInstance{template: template, instance: instance}
		if body, ok := render(template, instance, &item.faults); ok {
			item.value = decode(template.Kind, instance, body, &item.faults)
		}
		p.instances[key] = item
	}
	found.list = append(found.list, item.faults.list...)
	return item, item.value != nil
}
