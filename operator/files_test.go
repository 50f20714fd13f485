package operator

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against tables that pass Check although entries reject them, and against problems reported without
// their position in the file.
func TestCheckAndDiff(t *testing.T) {
	tests := []struct {
		name, pools string
		valid       bool
		check, diff string
	}{
		{"same", poolsText, true, "valid: 1 routes, 1 pools, 1 targets", "no change"},
		{"comment", "// x\n" + poolsText, true, "valid", "no change"},
		{"floor", strings.Replace(poolsText, `"floor": 1`, `"floor": 0`, 1), true, "valid", "pool info: floor changed from 1 to 0"},
		{"floor too high", strings.Replace(poolsText, `"floor": 1`, `"floor": 9`, 1), false, "pools.json:1:", "floor 9 is not between"},
		{"unknown field", strings.Replace(poolsText, `"floor"`, `"flor"`, 1), false, "flor", "flor"},
		{"no JSON", "{", false, "pools.json:", "pools.json:"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(writeFiles(dir, map[string]string{"routes.json": routesText, "pools.json": test.pools, "old.json": poolsText}))
			r, err := Check(dir+"/routes.json", dir+"/pools.json")
			is.NoErr(err)
			is.Equal(r.OK(), test.valid)
			is.True(strings.Contains(renderText(r), test.check))
			d, err := Diff(dir+"/routes.json", dir+"/old.json", dir+"/routes.json", dir+"/pools.json")
			is.Equal(err == nil, test.valid)
			if err != nil {
				is.True(strings.Contains(err.Error(), test.diff))
				return
			}
			is.Equal(d.OK(), test.diff == "no change")
			is.True(strings.Contains(renderText(d), test.diff))
		})
	}
}

// Guards against skipping entries whose settings files have comments or unknown fields, and against taking
// other files of the directory for settings.
func TestReadAddresses(t *testing.T) {
	tests := []struct {
		name  string
		files map[string]string
		want  []Address
		err   string
	}{
		{"settings and others", map[string]string{
			"b.json": `{"id": "e2", "operatorAddress": "10.0.0.2:1", "unknown": 1}`,
			"a.json": `{"id": "e1", /* first */ "operatorAddress": "10.0.0.1:1"}`, "fleet.json": `{"entries": []}`, "x.pem": "x",
		}, []Address{{"e1", "10.0.0.1:1"}, {"e2", "10.0.0.2:1"}}, ""},
		{"none", map[string]string{"fleet.json": `{"entries": []}`}, nil, "no settings file"},
		{"broken", map[string]string{"a.json": `{"id": "e1", "operatorAddress": "10.0.0.1:1"}`, "b.json": "{"}, nil, "b.json"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(writeFiles(dir, test.files))
			got, err := ReadAddresses(dir)
			is.Equal(got, test.want)
			is.Equal(err == nil, test.err == "")
			if err != nil {
				is.True(strings.Contains(err.Error(), test.err))
			}
		})
	}
}

// Guards against settings that pass CheckSettings although an entry rejects them when it starts.
func TestCheckSettings(t *testing.T) {
	good := `{"id": "e1", "failureDomain": "a", "callerAddress": "10.0.0.1:1", "peerAddress": "10.0.0.1:2",
		"operatorAddress": "10.0.0.1:3", "platform": "http://10.0.0.9:1", "tls": {"ca": "a", "certificate": "b", "key": "c"}}`
	tests := []struct{ name, text, reason string }{
		{"good", good, ""},
		{"log level", strings.Replace(good, `"id"`, `"logLevel": "loud", "id"`, 1), "logLevel"},
		{"rule", strings.Replace(good, `"id"`, `"suspectMs": 100, "id"`, 1), "suspectMs: 100 is below"},
		{"unknown field", strings.Replace(good, `"id"`, `"idd"`, 1), `unknown field "idd"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			is.NoErr(writeFiles(dir, map[string]string{"a.json": test.text}))
			r := CheckSettings([]string{dir + "/a.json"})
			is.Equal(r.OK(), test.reason == "")
			is.True(strings.Contains(renderText(r), test.reason))
		})
	}
}
