package demo

import (
	"fmt"
	"strconv"

	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/experiment"
)

// render writes the tables of both versions.
func render(streams *terminal.Streams, document Document) error {
	for _, write := range []func(*terminal.Streams, Document) error{renderGoodput, renderRefusals, renderFigures} {
		if err := write(streams, document); err != nil {
			return err
		}
		streams.Printf("\n")
	}
	return nil
}

func renderGoodput(streams *terminal.Streams, document Document) error {
	table := terminal.Table{
		Streams: streams,
		Header:  []string{"KIND", "VERSION", "BEFORE/S", "OVERLOAD/S", "OF OFFERED/S", "AFTER/S"},
	}
	for index, ours := range document.Magnoliawall.Goodput {
		addGoodput(&table, "magnoliawall", ours)
		addGoodput(&table, "naive", document.Naive.Goodput[index])
	}
	return table.Render()
}

func addGoodput(table *terminal.Table, version string, summary experiment.KindSummary) {
	table.Add(string(summary.Kind), version, rate(summary.Before), rate(summary.Overload), rate(summary.Offered), rate(summary.After))
}

func renderRefusals(streams *terminal.Streams, document Document) error {
	table := terminal.Table{Streams: streams, Header: []string{"CODE", "REFUSAL", "VERSION", "ATTEMPTS"}}
	addRefusals(&table, "magnoliawall", document.Magnoliawall)
	addRefusals(&table, "naive", document.Naive)
	return table.Render()
}

func addRefusals(table *terminal.Table, version string, summary experiment.Summary) {
	for _, refusal := range summary.Refusals {
		table.Add(strconv.Itoa(int(refusal.Code)), refusal.Name, version, strconv.Itoa(refusal.Count))
	}
	table.Add("-", "no answer in time", version, strconv.Itoa(summary.Late))
	table.Add("-", "error without a code", version, strconv.Itoa(summary.Broken))
	table.Add("-", "answer cut or another's", version, strconv.Itoa(summary.Wrong))
}

func renderFigures(streams *terminal.Streams, document Document) error {
	ours, naive := document.Magnoliawall, document.Naive
	table := terminal.Table{Streams: streams, Header: []string{"FIGURE", "MAGNOLIAWALL", "NAIVE"}}
	table.Add("recovery time", optional(ours.RecoveryTime), optional(naive.RecoveryTime))
	table.Add("patch in force after", optional(ours.PatchTime), optional(naive.PatchTime))
	table.Add("latency, median", length(ours.Median), length(naive.Median))
	table.Add("latency, 99 in 100", length(ours.Tail), length(naive.Tail))
	table.Add("work done in vain", percent(ours.Wasted), percent(naive.Wasted))
	table.Add("actions run twice", strconv.Itoa(ours.Repeated), strconv.Itoa(naive.Repeated))
	table.Add("actions run though told not run", strconv.Itoa(ours.Denied), strconv.Itoa(naive.Denied))
	return table.Render()
}

func rate(value float64) string { return fmt.Sprintf("%.1f", value) }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", share*100) }

func length(seconds float64) string { return fmt.Sprintf("%.3f s", seconds) }

func optional(seconds *float64) string {
	if seconds == nil {
		return "not within the run"
	}
	return length(*seconds)
}
