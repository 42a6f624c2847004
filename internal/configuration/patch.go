package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// PatchError describes the operation of an RFC 6902 patch that cannot be applied.
type PatchError struct {
	// Operation is the position of the operation in the patch, counted from one,
	// or zero if the patch or the document cannot be parsed.
	Operation int
	// Name is the kind of operation, such as "replace".
	Name string
	// Path is the JSON pointer of the operation.
	Path string
	// Problem is the fault and, where there is one, a remedy.
	Problem string
}

// Error formats the failed operation and its problem.
func (patchError *PatchError) Error() string {
	if patchError.Operation == 0 {
		return "patch: " + patchError.Problem
	}
	return fmt.Sprintf("patch operation %d, %s %q: %s", patchError.Operation, patchError.Name, patchError.Path, patchError.Problem)
}

// Patch applies an RFC 6902 patch to a text of JSON with comments and returns the
// new text in the standard layout, with its comments. The input is not modified.
// The error is a [*PatchError]. The new text is not checked; see [Parse].
func Patch(text, operations []byte) ([]byte, error) {
	document, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, &PatchError{Problem: "parse the document to patch: " + err.Error()}
	}
	list, err := parseOperations(operations)
	if err != nil {
		return nil, err
	}
	for i, operation := range list {
		if err := applyOperation(&document, operation); err != nil {
			return nil, operationError(i+1, operation, err)
		}
	}
	document.Format()
	return document.Pack(), nil
}

func parseOperations(operations []byte) ([]hujson.Value, error) {
	value, err := hujson.Parse(bytes.Clone(operations))
	if err != nil {
		return nil, &PatchError{Problem: err.Error() + "; write an RFC 6902 patch"}
	}
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, &PatchError{Problem: "is not a list; write an RFC 6902 patch"}
	}
	if len(list.Elements) == 0 {
		return nil, &PatchError{Problem: "has no operations; write at least one"}
	}
	return list.Elements, nil
}

func applyOperation(document *hujson.Value, operation hujson.Value) error {
	single := hujson.Value{Value: &hujson.Array{Elements: []hujson.Value{operation}}}
	return document.Patch(single.Pack())
}

func operationError(number int, operation hujson.Value, cause error) error {
	problem := strings.TrimPrefix(cause.Error(), "hujson: ")
	problem = strings.TrimPrefix(problem, "patch operation 0: ")
	if problem == "value not found" {
		problem += "; check the path in the version that the patch is based on"
	}
	return &PatchError{
		Operation: number,
		Name:      memberText(operation, "op"),
		Path:      memberText(operation, "path"),
		Problem:   problem,
	}
}

// memberText returns the string member of an operation, or an empty string.
func memberText(operation hujson.Value, name string) string {
	object, ok := operation.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, member := range object.Members {
		literal, isLiteral := member.Value.Value.(hujson.Literal)
		if isLiteral && member.Name.Value.(hujson.Literal).String() == name {
			return literal.String()
		}
	}
	return ""
}

// AsPatchError finds a [PatchError] in the chain of an error.
func AsPatchError(err error) (*PatchError, bool) {
	var patchErr *PatchError
	ok := errors.As(err, &patchErr)
	return patchErr, ok
}
