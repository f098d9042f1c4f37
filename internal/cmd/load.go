package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/testbed/generator"
	"github.com/banyanscale/banyanscale/internal/testbed/plotter"
)

const (
	// loadIdleConnections is the maximum number of idle connections to one target.
	loadIdleConnections = 1024
	usPerMS             = 1000
)

// errGuaranteeViolated reports a run whose result did not pass.
var errGuaranteeViolated = errors.New("a guarantee was violated: see ran-more-than-once, false-not-run, foreign-answers and cut-answers")

type loadOptions struct {
	experiment string
	name       string
	out        string
	plot       string
	compare    []string
}

// loadCmd adds the command that sends open-loop load.
func loadCmd(app *kingpin.Application, env *environment) (string, action) {
	c := app.Command("load", "Send open-loop load and measure what callers see.")
	o := &loadOptions{}
	c.Flag("experiment", "INI file that describes the experiment.").StringVar(&o.experiment)
	c.Flag("name", "Name of the run; by default the experiment's name.").StringVar(&o.name)
	c.Flag("out", "File for the result in JSON; by default standard output.").StringVar(&o.out)
	c.Flag("plot", "File for a plot of the latencies (PNG).").StringVar(&o.plot)
	c.Flag("compare", "Result of an earlier run to draw in the same plot. May be repeated.").StringsVar(&o.compare)
	return c.FullCommand(), func() error { return runLoad(env, o) }
}

func runLoad(env *environment, o *loadOptions) error {
	if o.experiment == "" && o.plot == "" {
		return errors.New("give --experiment, or --plot with --compare")
	}
	var results []*generator.Result
	for _, path := range o.compare {
		r, err := readResult(path)
		if err != nil {
			return fmt.Errorf("read %s: %w", path, err)
		}
		results = append(results, r)
	}
	var violation error
	if o.experiment != "" {
		r, err := runExperiment(env, o)
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		if !r.Passed() {
			violation = errGuaranteeViolated
		}
		results = append(results, r)
	}
	if o.plot != "" {
		if err := drawResults(o.plot, results); err != nil {
			return fmt.Errorf("draw %s: %w", o.plot, err)
		}
	}
	return violation
}

func runExperiment(env *environment, o *loadOptions) (*generator.Result, error) {
	data, err := os.ReadFile(o.experiment)
	if err != nil {
		return nil, fmt.Errorf("read the experiment: %w", err)
	}
	exp, err := generator.ReadExperiment(o.experiment, data)
	if err != nil {
		return nil, fmt.Errorf("load settings: %w", err)
	}
	if o.name != "" {
		exp.Name = o.name
	}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: loadIdleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
	r, err := generator.New(exp, client, env.stderr).Run(env.ctx)
	if err != nil {
		return nil, fmt.Errorf("run %s: %w", exp.Name, err)
	}
	if err := writeResult(env.stdout, o.out, r); err != nil {
		return nil, fmt.Errorf("write the result: %w", err)
	}
	return r, nil
}

func writeResult(stdout io.Writer, path string, r *generator.Result) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	data = append(data, '\n')
	if path != "" {
		err = os.WriteFile(path, data, 0o644)
	} else {
		_, err = stdout.Write(data)
	}
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

func readResult(path string) (*generator.Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	r := &generator.Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return r, nil
}

func drawResults(path string, results []*generator.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	defer func() { _ = f.Close() }() // After success the file is closed already.
	var series []plotter.Series
	for _, r := range results {
		for _, m := range r.Mixes {
			series = append(series, plotter.Series{Name: r.Name + " " + m.Name, Points: plotPoints(m.Curve)})
		}
	}
	if err := plotter.Draw(f, "Latency of successful responses", series); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close file: %w", err)
	}
	return nil
}

func plotPoints(curve []generator.Point) []plotter.Point {
	points := make([]plotter.Point, len(curve))
	for i, p := range curve {
		points[i] = plotter.Point{Share: p.Share, LatencyMS: float64(p.LatencyUS) / usPerMS}
	}
	return points
}
