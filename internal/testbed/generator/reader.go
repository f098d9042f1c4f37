package generator

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// Maximum values of an experiment's settings.
const (
	maxRate      = 1_000_000
	maxDuration  = time.Hour
	maxBodyBytes = 64 << 20
	maxWeight    = 1_000_000
)

// ErrIncompleteExperiment reports an experiment without targets, phases or mixes.
var ErrIncompleteExperiment = errors.New("incomplete experiment")

// ReadExperiment parses an experiment's INI file: one section [experiment], and
// any number of [phase NAME], [mix NAME] and [behavior NAME]. Errors carry file,
// line and key.
func ReadExperiment(name string, data []byte) (*Experiment, error) {
	file, err := parser.Parse(name, data)
	if err != nil {
		return nil, fmt.Errorf("parse the experiment: %w", err)
	}
	exp := &Experiment{}
	var errs parser.Errors
	for _, section := range file.Sections() {
		r := parser.NewReader(file.Name(), section)
		exp.readSection(r, section.Name())
		errs = append(errs, r.Errors()...)
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("check the experiment: %w", errs)
	}
	if len(exp.Targets) == 0 || len(exp.Phases) == 0 || len(exp.Mixes) == 0 {
		return nil, errors.Wrapf(ErrIncompleteExperiment, "%s: targets, a phase and a mix are needed", name)
	}
	return exp, nil
}

func (e *Experiment) readSection(r *parser.Reader, header string) {
	kind, name, _ := strings.Cut(header, " ")
	switch kind {
	case "experiment":
		e.Name = parser.Required(r, "name", parser.Name)
		e.Targets = parser.Required(r, "targets", parseURLs)
		e.StandIns = parser.Optional(r, "stand-ins", nil, parseURLs)
		e.Warmup = parser.Optional(r, "warmup", 0, parseDuration)
		e.Seed = parser.Optional(r, "seed", 1, parseSeed)
	case "phase":
		e.Phases = append(e.Phases, Phase{
			Rate:     parser.Required(r, "rate", parseRate),
			Duration: parser.Required(r, "duration", parseDuration),
		})
	case "mix":
		e.Mixes = append(e.Mixes, readMix(r, name))
	case "behavior":
		e.Behaviors = append(e.Behaviors, readBehavior(r))
	default:
		r.AddSectionError(parser.UnknownMessage("section", kind, []string{"experiment", "phase", "mix", "behavior"}))
	}
}

func readMix(r *parser.Reader, name string) Mix {
	return Mix{
		Name:      name,
		Targets:   parser.Optional(r, "targets", nil, parseURLs),
		Weight:    parser.Optional(r, "weight", 1, parseWeight),
		Method:    parser.Optional(r, "method", http.MethodGet, parseText),
		Host:      parser.Optional(r, "host", "", parseText),
		Path:      parser.Optional(r, "path", "/", parseText),
		BodyBytes: parser.Optional(r, "body-bytes", 0, parseBodyBytes),
		Priority:  parser.Optional(r, "priority", "", parsePriority),
		Timeout:   parser.Optional(r, "timeout", time.Second, parseDuration),
		Keyed:     parser.Optional(r, "keyed", false, parseBool),
	}
}

func readBehavior(r *parser.Reader) Behavior {
	standIn := parser.Required(r, "stand-in", parseURLs)
	form := url.Values{"kind": {parser.Required(r, "kind", parseText)}}
	if factor := parser.Optional(r, "factor", "", parseText); factor != "" {
		form.Set("factor", factor)
	}
	if duration := parser.Optional(r, "for", 0, parseDuration); duration > 0 {
		form.Set("for", duration.String())
	}
	b := Behavior{At: parser.Required(r, "at", parseDuration), Form: form.Encode()}
	if len(standIn) > 0 {
		b.StandIn = standIn[0]
	}
	return b
}

func parseURLs(value string) ([]string, error) {
	addrs, err := parser.Addresses(value)
	if err != nil {
		return nil, err
	}
	urls := make([]string, len(addrs))
	for i, addr := range addrs {
		urls[i] = "http://" + addr.String()
	}
	return urls, nil
}

func parseDuration(value string) (time.Duration, error) {
	return parser.Duration(value, 0, maxDuration)
}

func parseRate(value string) (float64, error) {
	n, err := parser.Int(value, 1, maxRate)
	return float64(n), err
}

func parseWeight(value string) (float64, error) {
	n, err := parser.Int(value, 1, maxWeight)
	return float64(n), err
}

func parseBodyBytes(value string) (int, error) { return parser.Int(value, 0, maxBodyBytes) }

func parseSeed(value string) (uint64, error) {
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a whole number", value)
	}
	return n, nil
}

func parsePriority(value string) (string, error) {
	return parser.OneOf(value, []string{"high", "normal", "low"})
}

func parseBool(value string) (bool, error) {
	name, err := parser.OneOf(value, []string{"yes", "no"})
	return name == "yes", err
}

func parseText(value string) (string, error) { return value, nil }
