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
func (ce *CodedError) Error() string { return ce.Err.Error() }

// Unwrap gives the error.
func (ce *CodedError) Unwrap() error { return ce.Err }

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
func (pr *Program) Main(ctx context.Context, commands any, arguments []string) ExitCode {
	exit, exited := ExitOK, false
	options := []kong.Option{
		kong.Name(pr.Name),
		kong.Description(pr.Description),
		kong.Writers(pr.Streams.Out, pr.Streams.Err),
		kong.Exit(func(code int) { exit, exited = ExitCode(code), true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(pr.Bindings...),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
	}
	parser, err := kong.New(commands, options...)
	if err != nil {
		pr.Streams.Errorf("%s: %v", pr.Name, err)
		return ExitFailure
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return exit
	}
	if err != nil {
		return pr.usage(err)
	}
	if pr.Parsed != nil {
		pr.Parsed()
	}
	return pr.exitOf(parsed.Run())
}

// usage prints what was wrong with the arguments, and the usage of the command.
func (pr *Program) usage(err error) ExitCode {
	parse := &kong.ParseError{}
	if errors.As(err, &parse) && parse.Context != nil {
		parse.Context.Stdout = pr.Streams.Err
		_ = parse.Context.PrintUsage(true)
	}
	pr.Streams.Errorf("%s: %v; see --help", pr.Name, err)
	return ExitUsage
}

func (pr *Program) exitOf(err error) ExitCode {
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
	pr.Streams.Errorf("%s: %v", pr.Name, err)
	return code
}
