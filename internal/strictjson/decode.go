// Package strictjson decodes JSON with comments into Go values and reports every
// fault with its line and field: unknown fields, duplicate fields and values of
// the wrong type. It continues after a fault, so that one call reports them all.
//
// The functions are safe for concurrent use, and so is a [Source] once [Decode]
// has returned it.
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
// SetDefaults of a type that has it is called before the fields of a value are
// decoded, including values of maps and elements of slices.
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

// Defaulter is a type whose defaults are set before it is decoded.
type Defaulter interface {
	SetDefaults()
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// Decode decodes the text into the target, a pointer to a struct. Fields without a
// fault are set even if there are faults elsewhere, so that the caller can run
// further checks and add their faults.
func Decode(text []byte, target any) (*Source, Faults) {
	source := &Source{text: text, offsets: make(map[string]int)}
	root, err := hujson.Parse(text)
	if err != nil {
		return source, Faults{syntaxFault(err)}
	}
	decoder := treeDecoder{source: source}
	decoder.decodeValue("", root, reflect.ValueOf(target).Elem())
	return source, decoder.faults
}

func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Problem: err.Error(), Advice: "correct the JSON syntax"}
	var column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &fault.Line, &column); scanErr == nil {
		_, detail, _ := strings.Cut(text, ": ")
		fault.Problem = fmt.Sprintf("column %d: %s", column, detail)
	}
	return fault
}

// treeDecoder walks the syntax tree of a text and collects its faults.
type treeDecoder struct {
	source *Source
	faults Faults
}

func (decoder *treeDecoder) addFault(path, problem, advice string) {
	decoder.faults = append(decoder.faults, decoder.source.Fault(path, problem, advice))
}

func (decoder *treeDecoder) decodeValue(path string, value hujson.Value, target reflect.Value) {
	decoder.source.offsets[path] = value.StartOffset
	if target.CanAddr() {
		if defaulter, ok := target.Addr().Interface().(Defaulter); ok {
			defaulter.SetDefaults()
		}
	}
	if reflect.PointerTo(target.Type()).Implements(unmarshalerType) {
		decoder.decodeLiteral(path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decoder.decodeStruct(path, value, target)
	case reflect.Map:
		decoder.decodeMap(path, value, target)
	case reflect.Slice:
		decoder.decodeSlice(path, value, target)
	default:
		decoder.decodeLiteral(path, value, target)
	}
}

func (decoder *treeDecoder) decodeLiteral(path string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		decoder.addFault(path, "is "+describeValue(value), "use "+describeType(target.Type()))
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		decoder.addFault(path, "is "+describeValue(value)+" "+string(literal), "use "+describeType(target.Type()))
	case err != nil:
		decoder.addFault(path, err.Error(), "")
	}
}

func (decoder *treeDecoder) decodeMembers(path string, value hujson.Value, expected string, decodeMember func(name string, value hujson.Value)) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		decoder.addFault(path, "is "+describeValue(value), "use "+expected)
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		if seen[name] {
			decoder.faults = append(decoder.faults, Fault{
				Line:    decoder.source.lineAt(member.Name.StartOffset),
				Field:   memberPath,
				Problem: "is given twice",
				Advice:  "remove the duplicate",
			})
			continue
		}
		seen[name] = true
		decodeMember(name, member.Value)
		decoder.source.offsets[memberPath] = member.Name.StartOffset
	}
}

func (decoder *treeDecoder) decodeStruct(path string, value hujson.Value, target reflect.Value) {
	fields := fieldIndexes(target.Type())
	decoder.decodeMembers(path, value, "an object", func(name string, member hujson.Value) {
		index, known := fields[name]
		if !known {
			decoder.source.offsets[joinPath(path, name)] = member.StartOffset
			decoder.addFault(joinPath(path, name), "is not a known field", "use one of: "+sortedFieldNames(fields))
			return
		}
		decoder.decodeValue(joinPath(path, name), member, target.Field(index))
	})
}

func (decoder *treeDecoder) decodeMap(path string, value hujson.Value, target reflect.Value) {
	target.Set(reflect.MakeMap(target.Type()))
	decoder.decodeMembers(path, value, "an object", func(name string, member hujson.Value) {
		element := reflect.New(target.Type().Elem()).Elem()
		decoder.decodeValue(joinPath(path, name), member, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
}

func (decoder *treeDecoder) decodeSlice(path string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		decoder.addFault(path, "is "+describeValue(value), "use an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		decoder.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, target.Index(i))
	}
}

// fieldIndexes returns the index of each field of a struct by its JSON name.
func fieldIndexes(structure reflect.Type) map[string]int {
	fields := make(map[string]int, structure.NumField())
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedFieldNames(fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describeValue(value hujson.Value) string {
	switch value.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "the boolean"
	case '"':
		return "the string"
	case '0':
		return "the number"
	case '{':
		return "an object"
	}
	return "an array"
}

func describeType(target reflect.Type) string {
	switch target.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "an integer of zero or more"
	}
	return "an integer"
}
