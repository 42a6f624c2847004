// Package create implements the command `magnolia patch create`.
//
// # Usage
//
//	command := create.New()
//	err := command.Run(ctx, tools)
package create

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/oklog/ulid/v2"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/listing"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/patch/outcome"
)

// Options are the arguments and flags of the command, as kong parses them.
type Options struct {
	Base   configuration.Version `required:"" help:"Number of the version that the patch is against."`
	Note   string                `required:"" help:"Why, for those who read the versions later."`
	Set    []string              `sep:"none" placeholder:"POINTER=JSON" help:"Set the value at a JSON pointer."`
	Remove []string              `sep:"none" placeholder:"POINTER" help:"Remove the value at a JSON pointer."`
	File   string                `placeholder:"FILE" help:"Take the operations from an RFC 6902 patch; - reads the input."`
	ID     string                `placeholder:"ID" help:"Send under this id, as for a resend from another host."`
	listing.Flags
}

// New returns the command with no flags set.
func New() *Options {
	return &Options{}
}

// Help returns the long description of the command.
func (options *Options) Help() string {
	return `Sends a patch against a numbered version of the whole configuration. It is refused
if another version is in force by then, and what changed since is shown.

An id is made and stored before the first send. If the answer is lost, the same
command sends the same id again and tells the first outcome. The exit code is 0
where it was accepted, 2 for faults, 3 for a stale number, 4 in doubt.

Examples:
  magnolia patch create --base 12 --note "longer day view" \
    --set /services/agenda/kinds/day/deadline='"2500ms"'
  magnolia patch create --base 12 --note "drop the old kind" --remove /services/agenda/kinds/old
  magnolia patch create --base 12 --note "from review" --file patch.json`
}

// Run executes the command.
func (options *Options) Run(ctx context.Context, tools *factory.Factory) error {
	patch, err := options.newPatch(tools)
	if err != nil {
		return err
	}
	forgetID, err := options.assignID(tools, patch)
	if err != nil {
		return err
	}
	answer, err := listing.Call[operator.PatchOutcome](ctx, tools, operator.CreatePatch, patch)
	if operator.IsInDoubt(err) {
		return program.WithCode(program.ExitInDoubt, fmt.Errorf("patch %s: %w; run the same command again to learn its outcome", patch.ID, err))
	}
	if err := errors.Join(err, forgetID()); err != nil {
		return err
	}
	if len(options.JSON) > 0 {
		return errors.Join(listing.ShowOne(tools.Streams, options.Flags, answer, nil), outcome.Error(answer))
	}
	outcome.Print(tools.Streams, answer)
	return outcome.Error(answer)
}

func (options *Options) newPatch(tools *factory.Factory) (*operator.Patch, error) {
	name, err := tools.Operator()
	if err != nil {
		return nil, err
	}
	operations, err := options.readOperations(tools.Streams.In)
	if err != nil {
		return nil, program.WithCode(program.ExitUsage, err)
	}
	return &operator.Patch{ID: options.ID, Base: options.Base, Operator: name, Note: options.Note, Operations: operations}, nil
}

// assignID sets the id of the patch: the one in the flags, the stored one if the
// same patch was sent before, or else a new one, which it stores. The returned
// function removes the stored id.
func (options *Options) assignID(tools *factory.Factory, patch *operator.Patch) (func() error, error) {
	if options.ID != "" {
		return func() error { return nil }, nil
	}
	content, err := json.Marshal(patch)
	if err != nil {
		return nil, err
	}
	folder, err := tools.Pending()
	if err != nil {
		return nil, err
	}
	patch.ID, err = folder.LoadOrStore(content, ulid.Make().String())
	return func() error { return folder.Remove(content) }, err
}

// operation is one operation of a JSON Patch (RFC 6902).
type operation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

func (options *Options) readOperations(input io.Reader) (json.RawMessage, error) {
	if options.File != "" {
		return options.readFileOperations(input)
	}
	var operations []operation
	for _, text := range options.Set {
		set, err := parseSet(text)
		if err != nil {
			return nil, err
		}
		operations = append(operations, set)
	}
	for _, pointer := range options.Remove {
		operations = append(operations, operation{Op: "remove", Path: pointer})
	}
	if len(operations) == 0 {
		return nil, errors.New("the patch is empty: give --set, --remove or --file")
	}
	return json.Marshal(operations)
}

func (options *Options) readFileOperations(input io.Reader) (json.RawMessage, error) {
	if len(options.Set)+len(options.Remove) > 0 {
		return nil, errors.New("give either --file or --set and --remove")
	}
	content, err := readFileOrInput(options.File, input)
	if err != nil {
		return nil, err
	}
	var operations []json.RawMessage
	if err := json.Unmarshal(content, &operations); err != nil {
		return nil, fmt.Errorf(`%s is not an RFC 6902 patch: give a list of operations, as in [{"op":"replace","path":"/retry/allowance-per-root","value":3}]; a whole document is no patch`, options.File)
	}
	return content, nil
}

func readFileOrInput(name string, input io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(input)
	}
	return os.ReadFile(name)
}

// parseSet parses POINTER=JSON into an add operation, which adds a missing member
// and replaces an existing one.
func parseSet(text string) (operation, error) {
	pointer, value, found := strings.Cut(text, "=")
	if !found || !strings.HasPrefix(pointer, "/") {
		return operation{}, fmt.Errorf("--set %s: give POINTER=JSON, as in /retry/allowance-per-root=3", text)
	}
	if !json.Valid([]byte(value)) {
		return operation{}, fmt.Errorf("--set %s: %s is not JSON; a text needs its quotes, as in '\"2500ms\"'", pointer, value)
	}
	return operation{Op: "add", Path: pointer, Value: json.RawMessage(value)}, nil
}
