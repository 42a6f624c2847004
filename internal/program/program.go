// Package program runs the command line of a program: it parses the arguments
// by kong, runs the command, and maps its error to an exit code.
//
// # Usage
//
//	line := &commands{Run: *run.New(tools)}
//	program := program.Program{Name: "magnoliad", Streams: tools.Streams, Bindings: []any{tools}}
//	os.Exit(int(program.Main(ctx, line, os.Args[1:])))
package program

import (
	"context"
	"errors"

	"github.com/alecthomas/kong"

	"github.com/magnoliawall/magnoliawall/internal/terminal"
)

// ExitCode is the exit code of a process; docs/RESULT-CODES.md has the table.
type ExitCode int

// The exit codes.
const (
	ExitOK        ExitCode = 0
	ExitFailure   ExitCode = 1
	ExitUsage     ExitCode = 2
	ExitRefused   ExitCode = 3
	ExitInDoubt   ExitCode = 4
	ExitCancelled ExitCode = 130
)

// CodedError is an error that asks for an exit code.
type CodedError struct {
	Code ExitCode
	Err  error
}

// Error describes the error.
func (codedError *CodedError) Error() string { return codedError.Err.Error() }

// Unwrap gives the error.
func (codedError *CodedError) Unwrap() error { return codedError.Err }

// WithCode gives an error an exit code. Nil stays nil.
func WithCode(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &CodedError{Code: code, Err: err}
}

// ErrSilent asks for an exit code without a message, where the command has
// told all.
var ErrSilent = errors.New("told before")

// Program is the command line of one program.
type Program struct {
	Name        string
	Description string
	Streams     *terminal.Streams
	// Bindings are the parameters of the commands' Run besides the context.
	Bindings []any
	// Parsed is called between parsing and running; it may be nil.
	Parsed func()
}

// Main runs the command that the arguments name. Commands is the grammar.
func (program *Program) Main(ctx context.Context, commands any, arguments []string) ExitCode {
	exit, exited := ExitOK, false
	options := []kong.Option{
		kong.Name(program.Name),
		kong.Description(program.Description),
		kong.Writers(program.Streams.Out, program.Streams.Err),
		kong.Exit(func(code int) { exit, exited = ExitCode(code), true }),
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
		return exit
	}
	if err != nil {
		return program.usage(err)
	}
	if program.Parsed != nil {
		program.Parsed()
	}
	return program.exitOf(parsed.Run())
}

// usage prints what was wrong with the arguments, and the usage of the command.
func (program *Program) usage(err error) ExitCode {
	parse := &kong.ParseError{}
	if errors.As(err, &parse) && parse.Context != nil {
		parse.Context.Stdout = program.Streams.Err
		_ = parse.Context.PrintUsage(true)
	}
	program.Streams.Errorf("%s: %v; see --help", program.Name, err)
	return ExitUsage
}

func (program *Program) exitOf(err error) ExitCode {
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
