package terminal

import (
	"bufio"
	"strings"
	"unicode/utf8"
)

const (
	columnGap = "  "
	ellipsis  = "…"
)

// Table collects rows and writes them for a person or for a script.
type Table struct {
	Streams *Streams
	// Header names the columns; it is shown on a terminal only.
	Header []string
	// Paint colours a cell on a terminal after it was aligned; nil leaves it.
	Paint func(column int, cell string) string

	rows [][]string
}

// Add appends a row. Tabs and line ends within a cell become spaces.
func (table *Table) Add(cells ...string) {
	row := make([]string, len(cells))
	for column, cell := range cells {
		row[column] = flatten(cell)
	}
	table.rows = append(table.rows, row)
}

// Len is the number of rows.
func (table *Table) Len() int { return len(table.rows) }

// Render writes all rows.
func (table *Table) Render() error {
	out := bufio.NewWriter(table.Streams.Out)
	if table.Streams.OutTerminal {
		table.renderAligned(out)
	} else {
		table.renderTabs(out)
	}
	return out.Flush()
}

func (table *Table) renderTabs(out *bufio.Writer) {
	for _, row := range table.rows {
		_, _ = out.WriteString(strings.Join(row, "\t"))
		_ = out.WriteByte('\n')
	}
}

func (table *Table) renderAligned(out *bufio.Writer) {
	widths := table.widths()
	table.renderRow(out, widths, table.Header, func(_ int, cell string) string {
		return table.Streams.Bold(cell)
	})
	for _, row := range table.rows {
		table.renderRow(out, widths, row, table.Paint)
	}
}

func (table *Table) renderRow(out *bufio.Writer, widths []int, row []string, paint func(int, string) string) {
	for column, cell := range row {
		text := truncate(cell, widths[column])
		padding := widths[column] - utf8.RuneCountInString(text)
		if paint != nil {
			text = paint(column, text)
		}
		_, _ = out.WriteString(text)
		if column < len(row)-1 {
			_, _ = out.WriteString(strings.Repeat(" ", padding) + columnGap)
		}
	}
	_ = out.WriteByte('\n')
}

// widths gives each column the width of its widest cell and takes what is
// over the terminal's width from the last column.
func (table *Table) widths() []int {
	var widths []int
	for _, row := range append([][]string{table.Header}, table.rows...) {
		for column, cell := range row {
			if column == len(widths) {
				widths = append(widths, 0)
			}
			widths[column] = max(widths[column], utf8.RuneCountInString(cell))
		}
	}
	table.fitLast(widths)
	return widths
}

func (table *Table) fitLast(widths []int) {
	if len(widths) == 0 {
		return
	}
	limit := table.Streams.Width
	if limit == 0 {
		limit = defaultWidth
	}
	last := len(widths) - 1
	used := len(columnGap) * last
	for _, width := range widths[:last] {
		used += width
	}
	least := len(ellipsis)
	if len(table.Header) > last {
		least = max(least, utf8.RuneCountInString(table.Header[last]))
	}
	widths[last] = min(widths[last], max(limit-used, least))
}

func truncate(text string, width int) string {
	if utf8.RuneCountInString(text) <= width {
		return text
	}
	return string([]rune(text)[:width-1]) + ellipsis
}

func flatten(cell string) string {
	return strings.NewReplacer("\t", " ", "\r", " ", "\n", " ").Replace(cell)
}
