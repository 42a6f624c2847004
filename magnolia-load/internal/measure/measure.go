// Package measure runs the project's named measurements. A measurement runs
// several times with consecutive seeds and returns figures for magnoliawall and
// for the naive version under the same load and seed.
//
// Runs of measurements share the machine and process settings such as those of the
// garbage collector, so only one may be active at a time.
//
// # Usage
//
//	found, ok := measure.Find("overload")
//	report, err := measure.Repeat(ctx, found, measure.Settings{Seed: 1, Runs: 5, Progress: streams.Progressf})
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

// FigureName identifies a figure within its measurement.
type FigureName string

// Unit is the printed unit of a figure.
type Unit string

// Target is the required value of a figure as text; empty means none.
type Target string

// Figure is one figure of one run.
type Figure struct {
	Name   FigureName
	Unit   Unit
	Target Target
	Value  float64
	// Naive is the figure of the naive version, if HasNaive is set.
	Naive    float64
	HasNaive bool
}

// Run holds the parameters and callbacks of one run of a measurement.
type Run struct {
	Seed uint64
	// Progress reports the progress of the run.
	Progress func(format string, values ...any)
	// KeepFile stores a file for docs/measurements, such as a plot. Only the last
	// run's file is kept.
	KeepFile func(file string, content []byte)
}

// Measurement is a named measurement.
type Measurement struct {
	Name string
	// About describes what is measured and under which load.
	About string
	// Runs is the default number of runs.
	Runs int
	// Run performs one run. It returns figures with the same names each time.
	Run func(ctx context.Context, run Run) ([]Figure, error)
}

// Settings holds the first seed and the number of runs; zero runs mean the
// measurement's default. Progress must be set.
type Settings struct {
	Seed     uint64
	Runs     int
	Progress func(format string, values ...any)
}

// Series holds one figure over all runs.
type Series struct {
	Name   FigureName
	Unit   Unit
	Target Target
	Values []float64
	Naive  []float64
}

// Report holds the figures and files of a measurement over all runs.
type Report struct {
	Name     string
	About    string
	Seed     uint64
	Runs     int
	Duration time.Duration
	Figures  []Series
	Files    map[string][]byte
}

// Find returns the measurement with a name.
func Find(name string) (Measurement, bool) {
	index := slices.IndexFunc(measurements, func(entry Measurement) bool { return entry.Name == name })
	if index < 0 {
		return Measurement{}, false
	}
	return measurements[index], true
}

// Names returns the names of all measurements.
func Names() []string {
	names := make([]string, 0, len(measurements))
	for _, entry := range measurements {
		names = append(names, entry.Name)
	}
	return names
}

// Repeat runs a measurement with the seeds that the settings give. It stops at the
// first run that fails.
func Repeat(ctx context.Context, measurement Measurement, settings Settings) (Report, error) {
	begin := time.Now()
	if settings.Runs == 0 {
		settings.Runs = measurement.Runs
	}
	report := Report{
		Name: measurement.Name, About: measurement.About,
		Seed: settings.Seed, Runs: settings.Runs, Files: make(map[string][]byte),
	}
	for index := range settings.Runs {
		run := Run{
			Seed:     settings.Seed + uint64(index),
			Progress: settings.Progress,
			KeepFile: func(file string, content []byte) { report.Files[file] = content },
		}
		figures, err := measurement.Run(ctx, run)
		if err != nil {
			return report, oops.Wrapf(err, "run %d of %s with seed %d", index+1, measurement.Name, run.Seed)
		}
		report.addFigures(figures)
		settings.Progress("%s: run %d of %d done", measurement.Name, index+1, settings.Runs)
	}
	report.Duration = time.Since(begin)
	return report, nil
}

func (report *Report) addFigures(figures []Figure) {
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

// WriteLines writes a line for each figure with the median over the runs, the
// figures of the naive version first.
func (report *Report) WriteLines(out io.Writer) {
	for _, series := range report.Figures {
		if len(series.Naive) > 0 {
			_, _ = fmt.Fprintf(out, "%s-%s-naive: %s %s\n", report.Name, series.Name, formatNumber(Median(series.Naive)), series.Unit)
		}
	}
	for _, series := range report.Figures {
		_, _ = fmt.Fprintf(out, "%s-%s: %s %s%s\n", report.Name, series.Name, formatNumber(Median(series.Values)), series.Unit, series.Target.suffix())
	}
}

func (target Target) suffix() string {
	if target == "" {
		return ""
	}
	return fmt.Sprintf(" (target %s)", string(target))
}
