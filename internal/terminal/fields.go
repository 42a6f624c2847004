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

// UnknownFieldError reports a JSON field that the rows of a command do not have.
type UnknownFieldError struct {
	Field string
	Known []string
}

// Error names the unknown field and lists the known ones.
func (unknownFieldError *UnknownFieldError) Error() string {
	return fmt.Sprintf("unknown JSON field %q; choose from: %s", unknownFieldError.Field, strings.Join(unknownFieldError.Known, ", "))
}

// FieldsOf returns the JSON names of the fields of a row type in the order of
// their declaration.
func FieldsOf[Row any]() []string {
	var names []string
	rowType := reflect.TypeFor[Row]()
	for field := range rowType.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.IsExported() && name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}

// WriteFields writes rows as a JSON array of objects with the named fields only,
// in the given order. For an unknown field it writes nothing and returns an
// [*UnknownFieldError].
func WriteFields[Row any](out io.Writer, rows []Row, fields []string) error {
	if err := checkFields[Row](fields); err != nil {
		return err
	}
	objects := make([]json.RawMessage, 0, len(rows))
	for _, row := range rows {
		object, err := selectFields(row, fields)
		if err != nil {
			return err
		}
		objects = append(objects, object)
	}
	return WriteJSON(out, objects)
}

// WriteObject writes one row as a JSON object with the named fields only. Errors
// are those of [WriteFields].
func WriteObject[Row any](out io.Writer, row Row, fields []string) error {
	if err := checkFields[Row](fields); err != nil {
		return err
	}
	object, err := selectFields(row, fields)
	if err != nil {
		return err
	}
	return WriteJSON(out, object)
}

// WriteJSON writes a value as an indented JSON document.
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

func selectFields(row any, fields []string) (json.RawMessage, error) {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(row); err != nil {
		return nil, err
	}
	var values map[string]json.RawMessage
	if err := json.Unmarshal(encoded.Bytes(), &values); err != nil {
		return nil, err
	}
	var object bytes.Buffer
	object.WriteByte('{')
	for index, field := range fields {
		if index > 0 {
			object.WriteByte(',')
		}
		value, ok := values[field]
		if !ok {
			value = json.RawMessage("null")
		}
		fmt.Fprintf(&object, "%q:%s", field, value)
	}
	object.WriteByte('}')
	return object.Bytes(), nil
}
