package apps

import (
	"bytes"
	"encoding/json"
)

// jsonSchema has the keywords of JSON Schema (draft 2020-12) that the schemas use,
// in the order in which they are written.
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

// properties is encoded as an object that keeps the order of its elements.
type properties []property

// property is a key of an object with the schema of its value.
type property struct {
	name   string
	schema jsonSchema
}

// MarshalJSON implements json.Marshaler.
func (p properties) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, property := range p {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(property.name)
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(property.schema)
		if err != nil {
			return nil, err
		}
		b.Write(name)
		b.WriteByte(':')
		b.Write(value)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// durationPattern matches durations in the syntax of time.ParseDuration.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`

// tableSchema returns the schema of a table with some keys and further properties.
func tableSchema[T any](keys []key[T], more ...property) jsonSchema {
	additional := false
	table := jsonSchema{Type: "object", AdditionalProperties: &additional}
	for _, k := range keys {
		value := jsonSchema{Description: k.description, Enum: k.allowed}
		switch k.kind {
		case kindText:
			value.Type, value.MinLength = "string", 1
		case kindTextList:
			value.Type, value.Items, value.MinItems, value.UniqueItems = "array", &jsonSchema{Type: "string", MinLength: 1}, 1, true
		case kindInteger, kindNumber:
			value.Type, value.Minimum, value.Maximum = "number", &k.min, &k.max
			if k.kind == kindInteger {
				value.Type = "integer"
			}
		case kindDuration:
			value.Type, value.Pattern = "string", durationPattern
		case kindBool:
			value.Type = "boolean"
		}
		table.Properties = append(table.Properties, property{k.name, value})
		if k.required {
			table.Required = append(table.Required, k.name)
		}
	}
	table.Properties = append(table.Properties, more...)
	return table
}

// arraySchema returns the schema of an array.
func arraySchema(s jsonSchema) jsonSchema { return jsonSchema{Type: "array", Items: &s} }

// versionProperty returns the schema key, which has one valid value.
func versionProperty() property {
	version := Schema
	return property{"schema", jsonSchema{Type: "integer", Const: &version, Description: "the version of the description"}}
}

// PlatformSchema returns the JSON schema of platform.toml.
func PlatformSchema() ([]byte, error) {
	s := tableSchema(platformKeys(), versionProperty(),
		property{"sidecar", tableSchema(defaultsKeys())}, property{"limits", tableSchema(limitsKeys())}, property{"cold", tableSchema(warmUpKeys())},
		property{"class", arraySchema(tableSchema(classKeys()))}, property{"host", arraySchema(tableSchema(hostKeys()))},
		property{"service", arraySchema(tableSchema(serviceKeys()))})
	s.Title = "platform.toml of curlewring"
	s.Required = append(s.Required, "schema", "class", "service")
	return marshalSchema(s)
}

// AppSchema returns the JSON schema of an application's description.
func AppSchema() ([]byte, error) {
	outcome := jsonSchema{Type: "string", Enum: []string{"error", "reset", "spoilt", "timeout", "turned-away", "unconnected"}}
	duration := jsonSchema{Type: "string", Pattern: durationPattern}
	zero, one, four, additional := 0.0, 1.0, 4.0, false
	fraction := jsonSchema{Type: "number", Minimum: &zero, Maximum: &one}
	route := jsonSchema{Type: "object", AdditionalProperties: &additional, Required: []string{"class"}, Properties: properties{
		{"class", jsonSchema{Type: "string", MinLength: 1}}, {"path", jsonSchema{Type: "string", Pattern: "^/"}}, {"tenant", jsonSchema{Type: "string", MinLength: 1}},
		{"attempt_timeout", duration}, {"attempts", jsonSchema{Type: "integer", Minimum: &one, Maximum: &four}},
		{"backoff", jsonSchema{Type: "object", AdditionalProperties: &additional, Properties: properties{{"first", duration}, {"most", duration}, {"jitter", fraction}}}},
		{"retry_on", jsonSchema{Type: "array", Items: &outcome, MinItems: 1, UniqueItems: true}},
		{"second_copy_after", duration}, {"deadline_cap", duration}, {"retry_after", duration},
	}}
	s := tableSchema(appKeys(), versionProperty(), property{"route", arraySchema(route)})
	s.Title = "a description of an application's sidecar, for curlewring"
	s.Required = append(s.Required, "schema")
	return marshalSchema(s)
}

// marshalSchema formats a complete schema.
func marshalSchema(s jsonSchema) ([]byte, error) {
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
