// Package program runs the command line of a program: it parses the arguments with
// kong, runs the command and maps its error to an exit code.
//
// # Usage
//
//	grammar := &commands{Run: *run.New(tools)}
//	program := program.Program{Name: "magnoliad", Streams: tools.Streams, Bindings: []any{tools}}
//	os.Exit(int(program.Main(ctx, grammar, os.Args[1:])))
package program

import (
	"context"
	"errors"

	"github.com/alecthomas/kong"

	"github.com/magnoliawall/magnoliawall/internal/terminal"
)

// ExitCode is the exit code of a process; docs/RESULT-CODES.md has the table.
type ExitCode int

// Exit codes of all programs.
const (
	ExitOK        ExitCode = 0
	ExitFailure   ExitCode = 1
	ExitUsage     ExitCode = 2
	ExitRefused   ExitCode = 3
	ExitInDoubt   ExitCode = 4
	ExitCancelled ExitCode = 130
)

// CodedError is an error with the exit code that it causes.
type CodedError struct {
	Code ExitCode
	Err  error
}

// Error returns the message of the wrapped error.
func (codedError *CodedError) Error() string { return codedError.Err.Error() }

// Unwrap returns the wrapped error.
func (codedError *CodedError) Unwrap() error { return codedError.Err }

// WithCode wraps an error in a [CodedError]. It returns nil for nil.
func WithCode(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &CodedError{Code: code, Err: err}
}

// ErrSilent causes an exit code without a message, for a command that has already
// printed its error.
var ErrSilent = errors.New("error already reported")

// Program is the command line of one program.
type Program struct {
	Name        string
	Description string
	Streams     *terminal.Streams
	// Bindings are passed to the Run methods of the commands, besides the context.
	Bindings []any
	// AfterParse is called after parsing and before the command runs; it may be nil.
	AfterParse func()
}

// Main parses the arguments and runs the command that they name. Commands is the
// kong grammar, a pointer to a struct.
func (program *Program) Main(ctx context.Context, commands any, arguments []string) ExitCode {
	exitCode, exited := ExitOK, false
	options := []kong.Option{
		kong.Name(program.Name),
		kong.Description(program.Description),
		kong.Writers(program.Streams.Out, program.Streams.Err),
		kong.Exit(func(code int) { exitCode, exited = ExitCode(code), true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(program.Bindings...),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
	}
	parser, err := kong.New(commands, options...)
	if err != nil {
		program.Streams.Errorf("%s: %v", program.Name, err)
		return ExitFailure
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return exitCode
	}
	if err != nil {
		return program.printUsageError(err)
	}
	if program.AfterParse != nil {
		program.AfterParse()
	}
	return program.exitCode(parsed.Run())
}

// printUsageError prints the usage of the command and the error in the arguments.
func (program *Program) printUsageError(err error) ExitCode {
	parseError := &kong.ParseError{}
	if errors.As(err, &parseError) && parseError.Context != nil {
		parseError.Context.Stdout = program.Streams.Err
		_ = parseError.Context.PrintUsage(true)
	}
	program.Streams.Errorf("%s: %v; see --help", program.Name, err)
	return ExitUsage
}

func (program *Program) exitCode(err error) ExitCode {
	coded := &CodedError{}
	code := ExitFailure
	if errors.As(err, &coded) {
		code = coded.Code
	}
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrSilent):
		return code
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	}
	program.Streams.Errorf("%s: %v", program.Name, err)
	return code
}
