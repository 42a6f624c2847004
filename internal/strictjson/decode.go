// Package strictjson reads JSON with comments into Go values and names every
// fault with its line and field: unknown fields, fields given twice, values of
// the wrong type. It goes on after a fault, so that one reading names them all.
//
// # Usage
//
//	var settings Settings
//	source, faults := strictjson.Decode(text, &settings)
//	if settings.Port == 0 {
//		faults = append(faults, source.Fault("port", "is missing", "give the port to listen on"))
//	}
//	return faults.Err()
//
// A type with a SetDefaults method is given its defaults before its fields are
// read, also as a value of a map.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Defaulter is a type that sets its own defaults before it is read.
type Defaulter interface {
	SetDefaults()
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// Decode reads the text into the target, a pointer to a struct. What could be
// read is set even if there are faults, so that further checks can add theirs.
func Decode(text []byte, target any) (*Source, Faults) {
	source := &Source{text: text, offsets: make(map[string]int)}
	root, err := hujson.Parse(text)
	if err != nil {
		return source, Faults{syntaxFault(err)}
	}
	decoder := decoder{source: source}
	decoder.value("", root, reflect.ValueOf(target).Elem())
	return source, decoder.faults
}

func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Problem: err.Error(), Advice: "correct the JSON at this place"}
	var column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &fault.Line, &column); scanErr == nil {
		_, detail, _ := strings.Cut(text, ": ")
		fault.Problem = fmt.Sprintf("column %d: %s", column, detail)
	}
	return fault
}

type decoder struct {
	source *Source
	faults Faults
}

func (d *decoder) fault(path, problem, advice string) {
	d.faults = append(d.faults, d.source.Fault(path, problem, advice))
}

func (d *decoder) value(path string, value hujson.Value, target reflect.Value) {
	d.source.offsets[path] = value.StartOffset
	if target.CanAddr() {
		if defaulter, ok := target.Addr().Interface().(Defaulter); ok {
			defaulter.SetDefaults()
		}
	}
	if reflect.PointerTo(target.Type()).Implements(unmarshalerType) {
		d.literal(path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structure(path, value, target)
	case reflect.Map:
		d.mapping(path, value, target)
	case reflect.Slice:
		d.slice(path, value, target)
	default:
		d.literal(path, value, target)
	}
}

func (d *decoder) literal(path string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.fault(path, "is "+kindName(value), "give "+typeName(target.Type()))
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		d.fault(path, "is "+kindName(value)+" "+string(literal), "give "+typeName(target.Type()))
	case err != nil:
		d.fault(path, err.Error(), "")
	}
}

func (d *decoder) members(path string, value hujson.Value, want string, each func(name string, value hujson.Value)) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.fault(path, "is "+kindName(value), "give "+want)
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		if seen[name] {
			d.faults = append(d.faults, Fault{
				Line:    d.source.lineAt(member.Name.StartOffset),
				Field:   memberPath,
				Problem: "is given twice",
				Advice:  "keep one of them",
			})
			continue
		}
		seen[name] = true
		each(name, member.Value)
		d.source.offsets[memberPath] = member.Name.StartOffset
	}
}

func (d *decoder) structure(path string, value hujson.Value, target reflect.Value) {
	fields := fieldsOf(target.Type())
	d.members(path, value, "an object", func(name string, member hujson.Value) {
		index, known := fields[name]
		if !known {
			d.source.offsets[join(path, name)] = member.StartOffset
			d.fault(join(path, name), "is not a known field", "use one of: "+names(fields))
			return
		}
		d.value(join(path, name), member, target.Field(index))
	})
}

func (d *decoder) mapping(path string, value hujson.Value, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	d.members(path, value, "an object", func(name string, member hujson.Value) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(join(path, name), member, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
}

func (d *decoder) slice(path string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.fault(path, "is "+kindName(value), "give a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), element, target.Index(i))
	}
}

func fieldsOf(structure reflect.Type) map[string]int {
	fields := make(map[string]int, structure.NumField())
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func names(fields map[string]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindName(value hujson.Value) string {
	switch value.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "the boolean"
	case '"':
		return "the text"
	case '0':
		return "the number"
	case '{':
		return "an object"
	}
	return "a list"
}

func typeName(target reflect.Type) string {
	switch target.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of zero or more"
	}
	return "a whole number"
}
