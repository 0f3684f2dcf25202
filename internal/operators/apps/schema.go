package apps

import (
	"bytes"
	"encoding/json"
)

// The parts of JSON Schema (draft 2020-12) that the schemas use, in the order
// in which they are written.
type schema struct {
	Schema      string     `json:"$schema,omitempty"`
	Title       string     `json:"title,omitempty"`
	Description string     `json:"description,omitempty"`
	Type        string     `json:"type,omitempty"`
	Const       *int       `json:"const,omitempty"`
	Enum        []string   `json:"enum,omitempty"`
	Pattern     string     `json:"pattern,omitempty"`
	MinLength   int        `json:"minLength,omitempty"`
	Minimum     *float64   `json:"minimum,omitempty"`
	Maximum     *float64   `json:"maximum,omitempty"`
	Items       *schema    `json:"items,omitempty"`
	MinItems    int        `json:"minItems,omitempty"`
	Unique      bool       `json:"uniqueItems,omitempty"`
	Properties  properties `json:"properties,omitempty"`
	Required    []string   `json:"required,omitempty"`
	Closed      *bool      `json:"additionalProperties,omitempty"`
}

// properties keep their order.
type properties []property

type property struct {
	name string
	is   schema
}

func (p properties) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, x := range p {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(x.name)
		if err != nil {
			return nil, err
		}
		is, err := json.Marshal(x.is)
		if err != nil {
			return nil, err
		}
		b.Write(name)
		b.WriteByte(':')
		b.Write(is)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// durationPattern is what a duration looks like, as time.ParseDuration reads it.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`

func tableOf[T any](keys []key[T], more ...property) schema {
	closed := false
	s := schema{Type: "object", Closed: &closed}
	for _, k := range keys {
		is := schema{Description: k.doc, Enum: k.among}
		switch k.kind {
		case text:
			is.Type, is.MinLength = "string", 1
		case words:
			is.Type, is.Items, is.MinItems, is.Unique = "array", &schema{Type: "string", MinLength: 1}, 1, true
		case integer, number:
			is.Type, is.Minimum, is.Maximum = "number", &k.least, &k.most
			if k.kind == integer {
				is.Type = "integer"
			}
		case duration:
			is.Type, is.Pattern = "string", durationPattern
		case yesNo:
			is.Type = "boolean"
		}
		s.Properties = append(s.Properties, property{k.name, is})
		if k.must {
			s.Required = append(s.Required, k.name)
		}
	}
	s.Properties = append(s.Properties, more...)
	return s
}

func listOf(s schema) schema { return schema{Type: "array", Items: &s} }

func version() property {
	n := Schema
	return property{"schema", schema{Type: "integer", Const: &n, Description: "the version of the description"}}
}

// PlatformSchema is the JSON schema of platform.toml.
func PlatformSchema() ([]byte, error) {
	s := tableOf(platformKeys(), version(),
		property{"sidecar", tableOf(defaultsKeys())}, property{"limits", tableOf(limitsKeys())}, property{"cold", tableOf(coldKeys())},
		property{"class", listOf(tableOf(classKeys()))}, property{"host", listOf(tableOf(hostKeys()))},
		property{"service", listOf(tableOf(serviceKeys()))})
	s.Title = "platform.toml of curlewring"
	s.Required = append(s.Required, "schema", "class", "service")
	return finish(s)
}

// AppSchema is the JSON schema of an application's description.
func AppSchema() ([]byte, error) {
	outcome := schema{Type: "string", Enum: []string{"error", "reset", "spoilt", "timeout", "turned-away", "unconnected"}}
	span := schema{Type: "string", Pattern: durationPattern}
	zero, one, four, closed := 0.0, 1.0, 4.0, false
	part := schema{Type: "number", Minimum: &zero, Maximum: &one}
	route := schema{Type: "object", Closed: &closed, Required: []string{"class"}, Properties: properties{
		{"class", schema{Type: "string", MinLength: 1}}, {"path", schema{Type: "string", Pattern: "^/"}}, {"tenant", schema{Type: "string", MinLength: 1}},
		{"attempt_timeout", span}, {"attempts", schema{Type: "integer", Minimum: &one, Maximum: &four}},
		{"backoff", schema{Type: "object", Closed: &closed, Properties: properties{{"first", span}, {"most", span}, {"jitter", part}}}},
		{"retry_on", schema{Type: "array", Items: &outcome, MinItems: 1, Unique: true}},
		{"second_copy_after", span}, {"deadline_cap", span}, {"retry_after", span},
	}}
	s := tableOf(appKeys(), version(), property{"route", listOf(route)})
	s.Title = "a description of an application's sidecar, for curlewring"
	s.Required = append(s.Required, "schema")
	return finish(s)
}

func finish(s schema) ([]byte, error) {
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
