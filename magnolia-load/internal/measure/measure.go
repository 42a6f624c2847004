// Package measure holds the measurements of the project by name. Each runs
// several times with seeds that follow each other and gives figures for
// magnoliawall and for the naive version on the same load and seed.
//
// # Usage
//
//	found, ok := measure.Find("overload")
//	report, err := measure.Repeat(ctx, found, measure.Setting{Seed: 1, Runs: 5})
//	report.WriteLines(os.Stdout)
package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/samber/oops"
)

// FigureName names a figure within its measurement.
type FigureName string

// Unit names the unit of a figure, as it is printed.
type Unit string

// Target is what the issues ask of a figure, in words; empty asks nothing.
type Target string

// Figure is one figure of one run.
type Figure struct {
	Name   FigureName
	Unit   Unit
	Target Target
	Value  float64
	// Naive is the figure of the naive version, and HasNaive whether there is
	// one.
	Naive    float64
	HasNaive bool
}

// Run is what one run of a measurement is given.
type Run struct {
	Seed uint64
	// Progress is told what is going on.
	Progress func(format string, values ...any)
	// Keep takes a file for docs/measurements, such as a plot; the last run's
	// is kept.
	Keep func(file string, content []byte)
}

// Measurement is one measurement by name.
type Measurement struct {
	Name string
	// About says in a sentence what is measured and on what load.
	About string
	// Runs is how often it runs where nothing else is asked.
	Runs int
	// Run makes one run. Its figures have the same names each time.
	Run func(ctx context.Context, run Run) ([]Figure, error)
}

// Setting says how often and with which seeds a measurement runs. Zero runs
// stand for the measurement's own number.
type Setting struct {
	Seed     uint64
	Runs     int
	Progress func(format string, values ...any)
}

// Series is one figure over all runs.
type Series struct {
	Name   FigureName
	Unit   Unit
	Target Target
	Values []float64
	Naive  []float64
}

// Report is the outcome of a measurement.
type Report struct {
	Name    string
	About   string
	Seed    uint64
	Runs    int
	Took    time.Duration
	Figures []Series
	Files   map[string][]byte
}

// Find gives the measurement of a name.
func Find(name string) (Measurement, bool) {
	index := slices.IndexFunc(all, func(entry Measurement) bool { return entry.Name == name })
	if index < 0 {
		return Measurement{}, false
	}
	return all[index], true
}

// Names lists the measurements.
func Names() []string {
	names := make([]string, 0, len(all))
	for _, entry := range all {
		names = append(names, entry.Name)
	}
	return names
}

// Repeat runs a measurement as often as the setting says.
func Repeat(ctx context.Context, measurement Measurement, setting Setting) (Report, error) {
	begin := time.Now()
	if setting.Runs == 0 {
		setting.Runs = measurement.Runs
	}
	report := Report{
		Name: measurement.Name, About: measurement.About,
		Seed: setting.Seed, Runs: setting.Runs, Files: make(map[string][]byte),
	}
	for index := range setting.Runs {
		run := Run{
			Seed:     setting.Seed + uint64(index),
			Progress: setting.Progress,
			Keep:     func(file string, content []byte) { report.Files[file] = content },
		}
		figures, err := measurement.Run(ctx, run)
		if err != nil {
			return report, oops.Wrapf(err, "run %d of %s with seed %d", index+1, measurement.Name, run.Seed)
		}
		report.add(figures)
		setting.Progress("%s: run %d of %d done", measurement.Name, index+1, setting.Runs)
	}
	report.Took = time.Since(begin)
	return report, nil
}

func (report *Report) add(figures []Figure) {
	for _, figure := range figures {
		series := report.series(figure)
		series.Values = append(series.Values, figure.Value)
		if figure.HasNaive {
			series.Naive = append(series.Naive, figure.Naive)
		}
	}
}

func (report *Report) series(figure Figure) *Series {
	for index := range report.Figures {
		if report.Figures[index].Name == figure.Name {
			return &report.Figures[index]
		}
	}
	report.Figures = append(report.Figures, Series{Name: figure.Name, Unit: figure.Unit, Target: figure.Target})
	return &report.Figures[len(report.Figures)-1]
}

// WriteLines writes a line for each figure: the median over the runs.
func (report *Report) WriteLines(out io.Writer) {
	for _, series := range report.Figures {
		if len(series.Naive) > 0 {
			_, _ = fmt.Fprintf(out, "%s-%s-naive: %s %s\n", report.Name, series.Name, number(Median(series.Naive)), series.Unit)
		}
	}
	for _, series := range report.Figures {
		_, _ = fmt.Fprintf(out, "%s-%s: %s %s%s\n", report.Name, series.Name, number(Median(series.Values)), series.Unit, series.Target.suffix())
	}
}

func (target Target) suffix() string {
	if target == "" {
		return ""
	}
	return fmt.Sprintf(" (target %s)", string(target))
}
