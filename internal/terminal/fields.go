package terminal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// UnknownFieldError names a field that the rows of a command do not have.
type UnknownFieldError struct {
	Field string
	Known []string
}

// Error names the field and those that exist.
func (unknownFieldError *UnknownFieldError) Error() string {
	return fmt.Sprintf("unknown JSON field %q; choose from: %s", unknownFieldError.Field, strings.Join(unknownFieldError.Known, ", "))
}

// FieldsOf lists the JSON names of the fields of a row type, in their order.
func FieldsOf[Row any]() []string {
	var names []string
	kind := reflect.TypeFor[Row]()
	for field := range kind.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.IsExported() && name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}

// WriteFields writes rows as a JSON array of objects that hold the named
// fields only, in the order given. An unknown field is an
// [*UnknownFieldError] and nothing is written.
func WriteFields[Row any](out io.Writer, rows []Row, fields []string) error {
	if err := checkFields[Row](fields); err != nil {
		return err
	}
	picked := make([]json.RawMessage, 0, len(rows))
	for _, row := range rows {
		object, err := pick(row, fields)
		if err != nil {
			return err
		}
		picked = append(picked, object)
	}
	return WriteJSON(out, picked)
}

// WriteObject writes one row as a JSON object that holds the named fields
// only.
func WriteObject[Row any](out io.Writer, row Row, fields []string) error {
	if err := checkFields[Row](fields); err != nil {
		return err
	}
	object, err := pick(row, fields)
	if err != nil {
		return err
	}
	return WriteJSON(out, object)
}

// WriteJSON writes a value as one indented JSON document.
func WriteJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func checkFields[Row any](fields []string) error {
	known := FieldsOf[Row]()
	for _, field := range fields {
		if !slices.Contains(known, field) {
			return &UnknownFieldError{Field: field, Known: known}
		}
	}
	return nil
}

func pick(row any, fields []string) (json.RawMessage, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(row); err != nil {
		return nil, err
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text.Bytes(), &all); err != nil {
		return nil, err
	}
	var object bytes.Buffer
	object.WriteByte('{')
	for index, field := range fields {
		if index > 0 {
			object.WriteByte(',')
		}
		value, ok := all[field]
		if !ok {
			value = json.RawMessage("null")
		}
		fmt.Fprintf(&object, "%q:%s", field, value)
	}
	object.WriteByte('}')
	return object.Bytes(), nil
}
