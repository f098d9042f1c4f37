package compiler_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/version/parser"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const (
	base = `[control]
voters = 10.0.0.1:7100, 10.0.0.2:7100, 10.0.0.3:7100
[owner talleres]
idle-rate = 0.25
currency = MXN
[service vitrina]
owner = talleres
hosts = catalogo.example
timeout = 1500ms
[service almacen]
owner = talleres
hosts = pedidos.example
priority = high
`
	overlay = `[site]
name = oaxaca
region = sur
failure-domains = oax-centro, oax-istmo
[service vitrina]
slots = 9
hedge-after = 20ms
retry-percent = 5%
`
)

func sources(texts ...string) []compiler.Source {
	names := []string{"base.ini", "oaxaca.ini", "kigali.ini"}
	files := make([]compiler.Source, len(texts))
	for i, text := range texts {
		files[i] = compiler.Source{Name: names[i], Data: []byte(text)}
	}
	return files
}

func mustParse(t *testing.T, texts ...string) *controlwire.Document {
	t.Helper()
	doc, err := compiler.Parse(sources(texts...))
	assert.NilError(t, err)
	return doc
}

func assertEqualDocuments(t *testing.T, a, b *controlwire.Document) {
	t.Helper()
	assert.Assert(t, proto.Equal(a, b), "%v\n%v", a, b)
}

func TestCompile(t *testing.T) {
	doc := mustParse(t, base, overlay)
	assert.NilError(t, compiler.CheckAll(doc))
	t.Run("overlay", func(t *testing.T) {
		cfg, err := compiler.Compile(doc, "oaxaca", 7)
		assert.NilError(t, err)
		spec := cfg.Service("vitrina").Spec()
		assert.Equal(t, spec.Slots, 9)
		assert.Equal(t, spec.HedgeAfter, 20*time.Millisecond)
		assert.Equal(t, spec.RetryPercent, 5)
		assert.Equal(t, spec.Timeout, 1500*time.Millisecond)
		assert.Equal(t, cfg.Service("almacen").Spec().Priority, compiler.PriorityHigh)
		assert.Equal(t, cfg.Number(), uint64(7))
		assert.Equal(t, cfg.Region(), "sur")
		assert.DeepEqual(t, cfg.FailureDomains(), []string{"oax-centro", "oax-istmo"})
		assert.Equal(t, len(cfg.Voters()), 3)
		assert.Equal(t, cfg.Owner("talleres").IdleRateMicros(), int64(250_000))
		assert.Equal(t, cfg.Route("catalogo.example", "/ocre").Name(), "vitrina")
	})
	t.Run("site without overlay", func(t *testing.T) {
		cfg, err := compiler.Compile(doc, "kigali", 7)
		assert.NilError(t, err)
		assert.Equal(t, cfg.Service("vitrina").Spec().Slots, compiler.DefaultServiceSpec("").Slots)
		assert.Equal(t, cfg.Region(), "")
	})
}

func TestParseErrors(t *testing.T) {
	site := "[site]\nname = oaxaca\nregion = sur\nfailure-domains = oax-centro\n"
	for name, tc := range map[string]struct {
		files []string
		want  string
	}{
		"unknown key":               {[]string{base + "timeot = 1s\n"}, "base.ini:14: timeot: unknown key (nearest valid key: timeout)"},
		"duration without unit":     {[]string{base + "timeout = 5\n"}, `base.ini:14: timeout: "5" is not a duration with its unit, such as 250ms`},
		"percentage without sign":   {[]string{base, site + "[service vitrina]\nretry-percent = 5\n"}, `oaxaca.ini:6: retry-percent: "5" is not a whole percentage, such as 10%`},
		"out of range":              {[]string{base + "slots = 0\n"}, "base.ini:14: slots: 0 is out of range: 1 to 10000"},
		"unknown section":           {[]string{base + "[servise x]\n" + "a = b\n"}, "base.ini:14: servise x: unknown section (nearest valid section: service NAME)"},
		"unknown owner":             {[]string{base, site + "[service vitrina]\nowner = taleres\n"}, `oaxaca.ini:6: owner: "taleres": unknown owner (nearest valid owner: talleres)`},
		"service without owner":     {[]string{base + "[service x]\nslots = 1\n"}, "base.ini:14: service x: the key owner is missing"},
		"unknown service":           {[]string{base, site + "[service vitrna]\nslots = 1\nqueue-length = 2\n"}, "oaxaca.ini:5: service vitrna: unknown service (nearest valid service: vitrina)"},
		"owner in overlay":          {[]string{base, site + "[owner x]\nidle-rate = 1\n"}, "oaxaca.ini:5: owner x: unknown section (nearest valid section: site)"},
		"same route":                {[]string{base, site + "[service vitrina]\nhosts = a.example, pedidos.example\n"}, "oaxaca.ini:6: hosts: service almacen has the same route pedidos.example/"},
		"timeout above max-timeout": {[]string{base, site + "[service vitrina]\nmax-timeout = 1s\n"}, "oaxaca.ini:6: max-timeout: the timeout 1.5s is longer than the max-timeout 1s"},
		"owner without currency":    {[]string{base + "[owner x]\nidle-rate = 1\n"}, "base.ini:14: owner x: the key currency is missing"},
		"rate":                      {[]string{base + "[owner x]\nidle-rate = -1\ncurrency = MXN\n"}, `base.ini:15: idle-rate: "-1" is not an amount of money per slot-hour, such as 0.25`},
		"overlay without region":    {[]string{base, "[site]\nname = oaxaca\nfailure-domains = a\n"}, "oaxaca.ini:1: site: the key region is missing"},
		"overlay without site name": {[]string{base, "[site]\nregion = sur\n"}, "oaxaca.ini:1: site: the key name is missing"},
		"site named base":           {[]string{base, "[site]\nname = base\nregion = sur\nfailure-domains = a\n"}, "oaxaca.ini:2: name: the name is reserved for the base file"},
		"two base files":            {[]string{base, base}, "oaxaca.ini: base.ini is already the base file, and an overlay needs a section [site]"},
		"two overlays of a site":    {[]string{base, overlay, overlay}, "kigali.ini: oaxaca.ini is already the overlay of site oaxaca"},
		"no base file":              {[]string{overlay}, "base.ini: the base file, which has no section [site], is missing"},
		"no service":                {[]string{"[owner x]\nidle-rate = 1\ncurrency = MXN\n"}, "base.ini:1: no service is defined"},
		"empty section":             {[]string{base + "[service x]\n"}, "base.ini:14: service x: the section has no keys"},
		"voter by host name":        {[]string{"[control]\nvoters = control-1:7100\n[owner x]\nidle-rate = 1\ncurrency = MXN\n[service a]\nowner = x\n"}, `base.ini:2: voters: "control-1:7100" is not an IP address with a port, such as 10.0.0.7:7001`},
		"reports every error":       {[]string{base + "slots = x\nslot = 1\n", site + "[service vitrina]\npriority = urgent\n"}, "base.ini:14: slots: \"x\" is not a whole number without a unit\nbase.ini:15: slot: unknown key (nearest valid key: slots)\noaxaca.ini:6: priority: \"urgent\": unknown value (nearest valid value: high)"},
	} {
		t.Run(name, func(t *testing.T) {
			doc, err := compiler.Parse(sources(tc.files...))
			assert.Error(t, err, tc.want)
			assert.Assert(t, doc == nil)
		})
	}
}

func TestCheckAllErrors(t *testing.T) {
	entry := func(layer, section, key, value string) *controlwire.Entry {
		return &controlwire.Entry{Layer: layer, Section: section, Key: key, Value: value}
	}
	for name, tc := range map[string]struct {
		entry *controlwire.Entry
		want  string
	}{
		"value with line break": {entry("", "service vitrina", "queue-length", "1\nslots = 2"), "base [service vitrina]: queue-length: the value is not printable UTF-8 text without surrounding spaces"},
		"duplicate key":         {entry("", "service vitrina", "timeout", "1s"), "base [service vitrina]: timeout: duplicate key"},
		"layer":                 {entry("Oaxaca", "site", "name", "Oaxaca"), `site Oaxaca: "Oaxaca" is not a name in kebab case`},
		"name of another site":  {entry("kigali", "site", "name", "rwanda"), `site kigali [site]: name: "rwanda" is not the name of the site kigali`},
		"invalid service name":  {entry("", "service a]b", "owner", "talleres"), `base [service a]b]: "a]b" is not a name in kebab case`},
	} {
		t.Run(name, func(t *testing.T) {
			doc := mustParse(t, base, overlay)
			doc.Entries = append(doc.Entries, tc.entry)
			err := compiler.CheckAll(doc)
			assert.ErrorContains(t, err, tc.want)
			var errs parser.Errors
			assert.Assert(t, errors.As(err, &errs))
		})
	}
	assert.ErrorContains(t, compiler.CheckAll(nil), "no service is defined")
}

func TestCompileIgnoresOtherSites(t *testing.T) {
	doc := mustParse(t, base, overlay)
	doc.Entries = append(doc.Entries, &controlwire.Entry{Layer: "kigali", Section: "service vitrina", Key: "slots", Value: "x"})
	_, err := compiler.Compile(doc, "oaxaca", 1)
	assert.NilError(t, err)
	_, err = compiler.Compile(doc, "kigali", 1)
	assert.ErrorContains(t, err, "site kigali [service vitrina]: slots")
}

func TestParseIgnoresFileOrderAndComments(t *testing.T) {
	doc := mustParse(t, base, overlay)
	baseFile := compiler.Source{Name: "b", Data: []byte(base)}
	again, err := compiler.Parse([]compiler.Source{{Name: "a", Data: []byte("# Comment.\n" + overlay)}, baseFile})
	assert.NilError(t, err)
	assertEqualDocuments(t, doc, again)
	assert.DeepEqual(t, compiler.Digest(doc), compiler.Digest(again))
}

func TestDigestSeparatesFields(t *testing.T) {
	one := &controlwire.Document{Entries: []*controlwire.Entry{{Section: "ab", Key: "c", Value: "d"}}}
	for _, other := range []*controlwire.Entry{
		{Section: "a", Key: "bc", Value: "d"}, {Section: "ab", Key: "cd"}, {Layer: "a", Section: "b", Key: "c", Value: "d"},
	} {
		assert.Assert(t, string(compiler.Digest(one)) != string(compiler.Digest(&controlwire.Document{Entries: []*controlwire.Entry{other}})))
	}
}

func TestDiffAndApply(t *testing.T) {
	old := mustParse(t, base, overlay)
	next := mustParse(t, base+"slots = 4\n", "[site]\nname = oaxaca\nregion = sur\nfailure-domains = oax-centro\n")
	changes := compiler.Diff(old, next)
	assert.Equal(t, len(changes), 5)
	applied, err := compiler.Apply(old, changes)
	assert.NilError(t, err)
	assertEqualDocuments(t, applied, next)
	back, err := compiler.Apply(next, compiler.Diff(next, old))
	assert.NilError(t, err)
	assertEqualDocuments(t, back, old)
	assert.Equal(t, len(compiler.Diff(old, old)), 0)
	_, err = compiler.Apply(next, changes)
	assert.Assert(t, errors.Is(err, compiler.ErrNotApplicable))
	_, err = compiler.Apply(old, append(changes, changes...))
	assert.Assert(t, errors.Is(err, compiler.ErrNotApplicable))
	fromNothing, err := compiler.Apply(nil, compiler.Diff(nil, old))
	assert.NilError(t, err)
	assertEqualDocuments(t, fromNothing, old)
}

// TestJoinedChangesLeadToTheSameDocument guards against a delta over several versions that cannot be applied.
func TestJoinedChangesLeadToTheSameDocument(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	document := func() *controlwire.Document {
		doc := &controlwire.Document{}
		for i := range 12 {
			if random.IntN(2) == 0 {
				doc.Entries = append(doc.Entries, &controlwire.Entry{Section: "service s", Key: fmt.Sprintf("k%02d", i), Value: fmt.Sprint(random.IntN(3))})
			}
		}
		return doc
	}
	for range 200 {
		first := document()
		last := first
		var changes []*controlwire.EntryChange
		for range 2 + random.IntN(4) {
			next := document()
			changes = append(changes, compiler.Diff(last, next)...)
			last = next
		}
		got, err := compiler.ApplyJoined(first, compiler.JoinChanges(changes))
		assert.NilError(t, err)
		assertEqualDocuments(t, got, last)
	}
}

func TestSitesDoNotAffectEachOther(t *testing.T) {
	kigali := "[site]\nname = kigali\nregion = rw-kigali\nfailure-domains = kgl-a\n[service almacen]\nhosts = tienda.example\n"
	doc := mustParse(t, base, overlay+"hosts = tienda.example\n", kigali)
	cfg, err := compiler.Compile(doc, "kigali", 1)
	assert.NilError(t, err)
	assert.Equal(t, cfg.Route("tienda.example", "/").Name(), "almacen")
	next := mustParse(t, base, overlay+"hosts = tienda.example\nqueue-length = 5\n", kigali)
	effects := compiler.Effects(doc, next)
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0].Scope(), "site oaxaca")
	assert.Equal(t, effects[0].String(), "service vitrina: queue-length: 32 -> 5")
}

func TestRouteMatching(t *testing.T) {
	service := func(name, hosts, prefix string) string {
		return "[service " + name + "]\nowner = x\nhosts = " + hosts + "\npath-prefix = " + prefix + "\n"
	}
	doc := mustParse(t, "[owner x]\nidle-rate = 1\ncurrency = MXN\n"+service("any", "*", "/")+service("any-long", "*", "/guias/barro")+
		service("named", "oax.example", "/")+service("named-long", "oax.example, sur.example", "/guias"))
	cfg, err := compiler.Compile(doc, "oaxaca", 1)
	assert.NilError(t, err)
	for request, want := range map[string]string{
		"oax.example/guias": "named-long", "oax.example/guias/barro": "named-long", "oax.example/guiasx": "named",
		"OAX.example/": "named", "sur.example/guias/x": "named-long", "sur.example/": "any", "otro.example/guias/barro": "any-long",
		"otro.example/guias": "any",
	} {
		host, path, _ := strings.Cut(request, "/")
		assert.Equal(t, cfg.Route(host, "/"+path).Name(), want, request)
	}
}

func TestSettingsPageListsDefaults(t *testing.T) {
	page, err := os.ReadFile("../../../docs/reference/settings.md")
	assert.NilError(t, err)
	doc := mustParse(t, "[owner x]\nidle-rate = 1\ncurrency = MXN\n[service a]\nowner = x\n")
	effective, err := parser.Parse("effective", compiler.FormatEffective(doc, ""))
	assert.NilError(t, err)
	for _, key := range effective.Section("service a").Keys() {
		row := regexp.MustCompile("(?m)^\\| `" + key.Name() + "` \\|.*$").FindString(string(page))
		assert.Assert(t, key.Name() == "owner" || strings.Contains(row, "| `"+key.Value()+"` |"), "%s = %s", key.Name(), key.Value())
	}
}
