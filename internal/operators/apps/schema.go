package apps

import (
	"bytes"
	"encoding/json"
)

// The parts of JSON Schema (draft 2020-12) that the schemas use, in the order
// in which they are written.
type jsonSchema struct {
	Schema               string      `json:"$schema,omitempty"`
	Title                string      `json:"title,omitempty"`
	Description          string      `json:"description,omitempty"`
	Type                 string      `json:"type,omitempty"`
	Const                *int        `json:"const,omitempty"`
	Enum                 []string    `json:"enum,omitempty"`
	Pattern              string      `json:"pattern,omitempty"`
	MinLength            int         `json:"minLength,omitempty"`
	Minimum              *float64    `json:"minimum,omitempty"`
	Maximum              *float64    `json:"maximum,omitempty"`
	Items                *jsonSchema `json:"items,omitempty"`
	MinItems             int         `json:"minItems,omitempty"`
	UniqueItems          bool        `json:"uniqueItems,omitempty"`
	Properties           properties  `json:"properties,omitempty"`
	Required             []string    `json:"required,omitempty"`
	AdditionalProperties *bool       `json:"additionalProperties,omitempty"`
}

// properties keep their order.
type properties []property

type property struct {
	name   string
	schema jsonSchema
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
		is, err := json.Marshal(x.schema)
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

func tableSchema[T any](keys []key[T], more ...property) jsonSchema {
	closed := false
	s := jsonSchema{Type: "object", AdditionalProperties: &closed}
	for _, k := range keys {
		is := jsonSchema{Description: k.description, Enum: k.allowed}
		switch k.kind {
		case kindText:
			is.Type, is.MinLength = "string", 1
		case kindTextList:
			is.Type, is.Items, is.MinItems, is.UniqueItems = "array", &jsonSchema{Type: "string", MinLength: 1}, 1, true
		case kindInteger, kindNumber:
			is.Type, is.Minimum, is.Maximum = "number", &k.min, &k.max
			if k.kind == kindInteger {
				is.Type = "integer"
			}
		case kindDuration:
			is.Type, is.Pattern = "string", durationPattern
		case kindBool:
			is.Type = "boolean"
		}
		s.Properties = append(s.Properties, property{k.name, is})
		if k.required {
			s.Required = append(s.Required, k.name)
		}
	}
	s.Properties = append(s.Properties, more...)
	return s
}

func arraySchema(s jsonSchema) jsonSchema { return jsonSchema{Type: "array", Items: &s} }

func versionProperty() property {
	n := Schema
	return property{"schema", jsonSchema{Type: "integer", Const: &n, Description: "the version of the description"}}
}

// PlatformSchema is the JSON schema of platform.toml.
func PlatformSchema() ([]byte, error) {
	s := tableSchema(platformKeys(), versionProperty(),
		property{"sidecar", tableSchema(defaultsKeys())}, property{"limits", tableSchema(limitsKeys())}, property{"cold", tableSchema(coldKeys())},
		property{"class", arraySchema(tableSchema(classKeys()))}, property{"host", arraySchema(tableSchema(hostKeys()))},
		property{"service", arraySchema(tableSchema(serviceKeys()))})
	s.Title = "platform.toml of curlewring"
	s.Required = append(s.Required, "schema", "class", "service")
	return marshalSchema(s)
}

// AppSchema is the JSON schema of an application's description.
func AppSchema() ([]byte, error) {
	outcome := jsonSchema{Type: "string", Enum: []string{"error", "reset", "spoilt", "timeout", "turned-away", "unconnected"}}
	span := jsonSchema{Type: "string", Pattern: durationPattern}
	zero, one, four, closed := 0.0, 1.0, 4.0, false
	part := jsonSchema{Type: "number", Minimum: &zero, Maximum: &one}
	route := jsonSchema{Type: "object", AdditionalProperties: &closed, Required: []string{"class"}, Properties: properties{
		{"class", jsonSchema{Type: "string", MinLength: 1}}, {"path", jsonSchema{Type: "string", Pattern: "^/"}}, {"tenant", jsonSchema{Type: "string", MinLength: 1}},
		{"attempt_timeout", span}, {"attempts", jsonSchema{Type: "integer", Minimum: &one, Maximum: &four}},
		{"backoff", jsonSchema{Type: "object", AdditionalProperties: &closed, Properties: properties{{"first", span}, {"most", span}, {"jitter", part}}}},
		{"retry_on", jsonSchema{Type: "array", Items: &outcome, MinItems: 1, UniqueItems: true}},
		{"second_copy_after", span}, {"deadline_cap", span}, {"retry_after", span},
	}}
	s := tableSchema(appKeys(), versionProperty(), property{"route", arraySchema(route)})
	s.Title = "a description of an application's sidecar, for curlewring"
	s.Required = append(s.Required, "schema")
	return marshalSchema(s)
}

func marshalSchema(s jsonSchema) ([]byte, error) {
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
