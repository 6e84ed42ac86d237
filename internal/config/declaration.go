package config

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/goccy/go-yaml"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// Value is one of *Model, *Service, *Priority, *Tenant and *Job.
type Value interface {
	kind() Kind
	name() string
}

func (*Model) kind() Kind    { return KindModel }
func (*Service) kind() Kind  { return KindService }
func (*Priority) kind() Kind { return KindPriority }
func (*Tenant) kind() Kind   { return KindTenant }
func (*Job) kind() Kind      { return KindJob }

func (m *Model) name() string    { return m.Name }
func (s *Service) name() string  { return s.Name }
func (p *Priority) name() string { return p.Name }
func (t *Tenant) name() string   { return t.Name }
func (j *Job) name() string      { return j.Name }

// Kinds lists all kinds. A kind refers only to kinds before it.
var Kinds = []Kind{KindModel, KindService, KindPriority, KindTenant, KindJob}

// ValueOf returns a new zero Value of the kind; nil for an unknown kind.
func ValueOf(kind Kind) Value {
	switch kind {
	case KindModel:
		return &Model{}
	case KindService:
		return &Service{}
	case KindPriority:
		return &Priority{}
	case KindTenant:
		return &Tenant{}
	case KindJob:
		return &Job{}
	}
	return nil
}

// ID identifies a declaration.
type ID struct {
	Kind Kind
	Name string
}

// String returns "Kind name".
func (id ID) String() string { return string(id.Kind) + " " + id.Name }

// Declaration is one declared object. Positions are those of its fields in the
// operators' file; empty for a declaration read from the key-value service.
type Declaration struct {
	ID
	Value     Value
	Positions strictyaml.Positions
}

// NewDeclaration returns the Declaration of a value, without positions.
func NewDeclaration(value Value) Declaration {
	return Declaration{ID: ID{Kind: value.kind(), Name: value.name()}, Value: value}
}

// YAML returns the declaration as a document of an operators' file.
func (d Declaration) YAML() string {
	body, err := yaml.Marshal(d.Value)
	if err != nil {
		panic(fmt.Sprintf("config: %s cannot be written as YAML: %v", d.ID, err))
	}
	return "kind: " + string(d.Kind) + "\n" + string(body)
}

// JSON returns the stored form of the declaration's value. Durations are in nanoseconds.
func (d Declaration) JSON() []byte {
	body, err := json.Marshal(d.Value)
	if err != nil {
		panic(fmt.Sprintf("config: %s cannot be written as JSON: %v", d.ID, err))
	}
	return body
}

// declarationSet maps IDs to declarations.
type declarationSet map[ID]Declaration

func newDeclarationSet(declarations []Declaration) declarationSet {
	set := make(declarationSet, len(declarations))
	for _, declaration := range declarations {
		set[declaration.ID] = declaration
	}
	return set
}

// sorted returns the declarations by kind, in the order of Kinds, then by name.
func (s declarationSet) sorted() []Declaration {
	rank := map[Kind]int{}
	for index, kind := range Kinds {
		rank[kind] = index
	}
	list := make([]Declaration, 0, len(s))
	for _, declaration := range s {
		list = append(list, declaration)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return rank[list[i].Kind] < rank[list[j].Kind]
		}
		return list[i].Name < list[j].Name
	})
	return list
}
