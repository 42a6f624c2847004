package demo

import (
	"fmt"
	"strconv"

	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/experiment"
)

// render writes the tables that compare both versions.
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
	for index, magnoliawall := range document.Magnoliawall.Goodput {
		addGoodput(&table, "magnoliawall", magnoliawall)
		addGoodput(&table, "naive", document.Naive.Goodput[index])
	}
	return table.Render()
}

func addGoodput(table *terminal.Table, version string, summary experiment.KindSummary) {
	table.Add(string(summary.Kind), version, formatRate(summary.GoodputBefore), formatRate(summary.GoodputOverload), formatRate(summary.OfferedOverload), formatRate(summary.GoodputAfter))
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
	table.Add("-", "no answer in time", version, strconv.Itoa(summary.LateAttempts))
	table.Add("-", "error without a code", version, strconv.Itoa(summary.BrokenAttempts))
	table.Add("-", "answer cut or another's", version, strconv.Itoa(summary.WrongAnswers))
}

func renderFigures(streams *terminal.Streams, document Document) error {
	magnoliawall, naive := document.Magnoliawall, document.Naive
	table := terminal.Table{Streams: streams, Header: []string{"FIGURE", "MAGNOLIAWALL", "NAIVE"}}
	table.Add("recovery time", formatOptionalSeconds(magnoliawall.RecoveryTime), formatOptionalSeconds(naive.RecoveryTime))
	table.Add("patch in force after", formatOptionalSeconds(magnoliawall.PatchInForceTime), formatOptionalSeconds(naive.PatchInForceTime))
	table.Add("latency, median", formatSeconds(magnoliawall.LatencyMedian), formatSeconds(naive.LatencyMedian))
	table.Add("latency, 99 in 100", formatSeconds(magnoliawall.Latency99), formatSeconds(naive.Latency99))
	table.Add("work done in vain", formatPercent(magnoliawall.WastedWorkShare), formatPercent(naive.WastedWorkShare))
	table.Add("actions run twice", strconv.Itoa(magnoliawall.ActionsRunTwice), strconv.Itoa(naive.ActionsRunTwice))
	table.Add("actions run though told not run", strconv.Itoa(magnoliawall.ActionsRunThoughNotRun), strconv.Itoa(naive.ActionsRunThoughNotRun))
	return table.Render()
}

func formatRate(value float64) string { return fmt.Sprintf("%.1f", value) }

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", share*100) }

func formatSeconds(seconds float64) string { return fmt.Sprintf("%.3f s", seconds) }

func formatOptionalSeconds(seconds *float64) string {
	if seconds == nil {
		return "not within the run"
	}
	return formatSeconds(*seconds)
}
