// Package listing shows rows as every list command of magnolia does: a table on
// a terminal, tab-separated lines in a pipe, chosen fields as JSON.
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

// Flags are the flags of a command that shows rows.
type Flags struct {
	JSON []string `name:"json" placeholder:"FIELDS" sep:"," help:"Write the named fields as JSON."`
}

// Column is one column of a table.
type Column[Row any] struct {
	Header string
	Cell   func(Row) string
}

// Show writes the rows.
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

// ShowOne writes one row as lines of a name and a value.
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

// Call sends a request to the node that the settings name.
func Call[Answer any](ctx context.Context, tools *factory.Factory, verb operator.Verb, message any) (Answer, error) {
	var nothing Answer
	client, err := tools.Client()
	if err != nil {
		return nothing, err
	}
	answer, err := operator.Ask[Answer](ctx, client, verb, message)
	if operator.ChangesState(verb) && operator.IsInDoubt(err) {
		err = program.WithCode(program.ExitInDoubt, err)
	}
	return answer, err
}
