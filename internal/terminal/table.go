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

// Table collects rows and writes them, aligned for a terminal or separated by tabs
// for a script.
type Table struct {
	Streams *Streams
	// Header holds the names of the columns; it is written on a terminal only.
	Header []string
	// Paint adds colour to a cell, on a terminal only and after the width of the
	// cell was computed. Nil adds none.
	Paint func(column int, cell string) string

	rows [][]string
}

// Add appends a row. Tabs and line breaks in a cell are replaced by spaces.
func (table *Table) Add(cells ...string) {
	row := make([]string, len(cells))
	for column, cell := range cells {
		row[column] = replaceSeparators(cell)
	}
	table.rows = append(table.rows, row)
}

// Len returns the number of rows.
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
	widths := table.columnWidths()
	table.renderRow(out, widths, table.Header, func(_ int, cell string) string {
		return table.Streams.Bold(cell)
	})
	for _, row := range table.rows {
		table.renderRow(out, widths, row, table.Paint)
	}
}

func (table *Table) renderRow(out *bufio.Writer, widths []int, row []string, paint func(int, string) string) {
	for column, cell := range row {
		text := truncateCell(cell, widths[column])
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

// columnWidths returns the width of the widest cell of each column, in runes. If
// the table is wider than the terminal, the last column is shrunk.
func (table *Table) columnWidths() []int {
	var widths []int
	for _, row := range append([][]string{table.Header}, table.rows...) {
		for column, cell := range row {
			if column == len(widths) {
				widths = append(widths, 0)
			}
			widths[column] = max(widths[column], utf8.RuneCountInString(cell))
		}
	}
	table.shrinkLastColumn(widths)
	return widths
}

func (table *Table) shrinkLastColumn(widths []int) {
	if len(widths) == 0 {
		return
	}
	tableWidth := table.Streams.Width
	if tableWidth == 0 {
		tableWidth = defaultWidthColumns
	}
	last := len(widths) - 1
	used := len(columnGap) * last
	for _, width := range widths[:last] {
		used += width
	}
	minWidth := len(ellipsis)
	if len(table.Header) > last {
		minWidth = max(minWidth, utf8.RuneCountInString(table.Header[last]))
	}
	widths[last] = min(widths[last], max(tableWidth-used, minWidth))
}

func truncateCell(text string, width int) string {
	if utf8.RuneCountInString(text) <= width {
		return text
	}
	return string([]rune(text)[:width-1]) + ellipsis
}

func replaceSeparators(cell string) string {
	return strings.NewReplacer("\t", " ", "\r", " ", "\n", " ").Replace(cell)
}
