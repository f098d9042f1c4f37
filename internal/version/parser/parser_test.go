package parser_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

const valid = "# Comment.\n[service vitrina]\nowner = talleres\npath-prefix=/a=b\r\n\n; Comment.\n[site]\nname = sur\n"

func TestParse(t *testing.T) {
	file, err := parser.Parse("base.ini", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, file.Name(), "base.ini")
	assert.Equal(t, len(file.Sections()), 2)
	service := file.Section("service vitrina")
	assert.Equal(t, service.Line(), 2)
	assert.Equal(t, service.Key("path-prefix").Value(), "/a=b")
	assert.Equal(t, service.Key("path-prefix").Line(), 4)
	assert.Equal(t, file.Section("site").Key("name").Line(), 8)
	assert.Assert(t, file.Section("site").Key("owner") == nil)
}

func TestParseErrors(t *testing.T) {
	for name, tc := range map[string]struct{ data, want string }{
		"key outside a section": {"a = 1\n", "f:1: a: the key is outside a section"},
		"duplicate section":     {"[a]\nb = 1\n[a]\n", "f:3: [a]: duplicate section, first on line 1"},
		"duplicate key":         {"[a]\nb = 1\nb = 2\n", "f:3: b: duplicate key, first on line 2"},
		"unclosed header":       {"[a\n", "f:1: [a: not a section header of the form [kind] or [kind name] in kebab case"},
		"default section":       {"[DEFAULT]\n", "f:1: [DEFAULT]: not a section header of the form [kind] or [kind name] in kebab case"},
		"no equals sign":        {"[a]\nb\n", `f:2: b: neither a [section] nor a setting of the form "key = value"`},
		"snake case":            {"[a]\nb_c = 1\n", "f:2: b_c: the key is not in kebab case"},
		"key without a letter":  {"[a]\n- = 1\n", "f:2: -: the key is not in kebab case"},
		"no value":              {"[a]\nb =\n", "f:2: b: the value is missing"},
		"quotes":                {"[a]\nb = \"\"\"x\ny\"\"\"\n", "f:2: b: values must not be quoted\nf:3: y\"\"\": neither a [section] nor a setting of the form \"key = value\""},
		"control":               {"[a]\nb = \x00\n", "f:2: the line is not printable UTF-8 text"},
		"invalid UTF-8":         {"[a]\nb = \xff\n", "f:2: the line is not printable UTF-8 text"},
		"reports every error":   {"x\n[A]\ny = 1\n[a]\nb\n", "f:1: x: neither a [section] nor a setting of the form \"key = value\"\nf:2: [A]: not a section header of the form [kind] or [kind name] in kebab case\nf:5: b: neither a [section] nor a setting of the form \"key = value\""},
	} {
		t.Run(name, func(t *testing.T) {
			file, err := parser.Parse("f", []byte(tc.data))
			assert.Error(t, err, tc.want)
			assert.Assert(t, file == nil)
			var first *parser.Error
			assert.Assert(t, errors.As(err, &first))
			assert.Equal(t, first.File(), "f")
		})
	}
}

func TestValues(t *testing.T) {
	_, err := parser.Duration("5", 0, time.Hour)
	assert.Error(t, err, `"5" is not a duration with its unit, such as 250ms`)
	_, err = parser.Duration("0", 0, time.Hour)
	assert.Error(t, err, `"0" is not a duration with its unit, such as 250ms`)
	_, err = parser.Duration("2h", 0, time.Hour)
	assert.Error(t, err, "2h is out of range: 0s to 1h")
	_, err = parser.Int("+5", 0, 9)
	assert.Error(t, err, `"+5" is not a whole number without a unit`)
	_, err = parser.Int("10", 0, 9)
	assert.Error(t, err, "10 is out of range: 0 to 9")
	_, err = parser.Percent("10", 0, 100)
	assert.Error(t, err, `"10" is not a whole percentage, such as 10%`)
	_, err = parser.Percent("101%", 0, 100)
	assert.Error(t, err, "101% is out of range: 0% to 100%")
	_, err = parser.List("a, b, a")
	assert.Error(t, err, `"a, b, a" contains "a" more than once`)
	_, err = parser.List("a,,b")
	assert.Error(t, err, `"a,,b" contains an empty item`)
	_, err = parser.Address("localhost:80")
	assert.Error(t, err, `"localhost:80" is not an IP address with a port, such as 10.0.0.7:7001`)
	_, err = parser.Address("0.0.0.0:80")
	assert.Error(t, err, `"0.0.0.0:80" is not an address that other processes can connect to`)
	_, err = parser.Addresses("10.0.0.1:1, 10.0.0.1:1")
	assert.Error(t, err, `"10.0.0.1:1, 10.0.0.1:1" contains "10.0.0.1:1" more than once`)
	_, err = parser.OneOf("hihg", []string{"low", "high"})
	assert.Error(t, err, `"hihg": unknown value (nearest valid value: high)`)
}

func TestNearest(t *testing.T) {
	keys := []string{"timeout", "max-timeout", "slots"}
	assert.Equal(t, parser.Nearest("timeot", keys), "timeout")
	assert.Equal(t, parser.Nearest("maxtimeout", keys), "max-timeout")
	assert.Equal(t, parser.Nearest("slot", keys), "slots")
	assert.Equal(t, parser.Nearest("slot", nil), "")
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{valid, "", "[a]\nb = %(c)s\n", "[a]\nb = x \\\nc = d\n", "[a]\nb = `x`\n", "\ufeff[a]\n", "[a]\nb = c # d\n", "[a]\nb: c = d\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := parser.Parse("f", data)
		if err != nil {
			assert.Assert(t, file == nil)
			return
		}
		for _, section := range file.Sections() {
			for _, key := range section.Keys() {
				assert.NilError(t, parser.CheckValue(key.Value()))
				again, err := parser.Parse("f", []byte("[a]\nb = "+key.Value()))
				assert.NilError(t, err)
				assert.Equal(t, again.Section("a").Key("b").Value(), key.Value())
			}
		}
	})
}
