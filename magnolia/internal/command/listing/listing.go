// Package listing sends a command's request and prints the result in the format
// that all commands of magnolia share: a table on a terminal, tab-separated lines
// in a pipe, or selected fields as JSON.
//
// # Usage
//
//	type Options struct {
//		listing.Flags
//	}
//	return listing.Show(tools.Streams, options.Flags, rows, columns)
package listing

import (
	"context"
	"errors"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
)

// Flags are the output flags of a command.
type Flags struct {
	JSON []string `name:"json" placeholder:"FIELDS" sep:"," help:"Write the named fields as JSON."`
}

// Column is one column of a table; Cell returns its text for a row.
type Column[Row any] struct {
	Header string
	Cell   func(Row) string
}

// Show prints the rows as a table, or their fields that the flags name as JSON. An
// unknown field is a usage error.
func Show[Row any](streams *terminal.Streams, flags Flags, rows []Row, columns []Column[Row]) error {
	if len(flags.JSON) > 0 {
		return usageError(terminal.WriteFields(streams.Out, rows, flags.JSON))
	}
	if len(rows) == 0 && streams.OutTerminal {
		streams.Errorf("nothing to list")
		return nil
	}
	table := terminal.Table{Streams: streams}
	for _, column := range columns {
		table.Header = append(table.Header, column.Header)
	}
	for _, row := range rows {
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cells = append(cells, column.Cell(row))
		}
		table.Add(cells...)
	}
	return table.Render()
}

// ShowOne prints one row as a table with a line for each column, its header and
// its value, or the fields that the flags name as JSON. An unknown field is a usage
// error.
func ShowOne[Row any](streams *terminal.Streams, flags Flags, row Row, columns []Column[Row]) error {
	if len(flags.JSON) > 0 {
		return usageError(terminal.WriteObject(streams.Out, row, flags.JSON))
	}
	table := terminal.Table{Streams: streams, Header: []string{"", ""}}
	for _, column := range columns {
		table.Add(column.Header, column.Cell(row))
	}
	return table.Render()
}

func usageError(err error) error {
	unknown := &terminal.UnknownFieldError{}
	if errors.As(err, &unknown) {
		return program.WithCode(program.ExitUsage, err)
	}
	return err
}

// Call sends a request to the node in the settings and returns its response. If a
// request that changes state may have been carried out, the error has the exit
// code for an outcome in doubt.
func Call[Answer any](ctx context.Context, tools *factory.Factory, verb operator.Verb, message any) (Answer, error) {
	var zero Answer
	client, err := tools.Client()
	if err != nil {
		return zero, err
	}
	answer, err := operator.Call[Answer](ctx, client, verb, message)
	if operator.ChangesState(verb) && operator.IsInDoubt(err) {
		err = program.WithCode(program.ExitInDoubt, err)
	}
	return answer, err
}
