package site

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"catkinstep/core/version/check"
)

const right = `name: small
services:
  - name: workshop
    keyed: true
    slots: 3
    connections: 110
dataCentres:
  - name: duluth
    servers:
      - {address: "127.0.0.1:9001", service: workshop}
presets:
  - name: ordinary
    inForce: true
  - name: peak
    retryShare: 0.05
`

func mistakes(text string) []string {
	_, err := Parse("site.yaml", []byte(text))
	var all check.FileErrors
	if !errors.As(err, &all) {
		return nil
	}
	return strings.Split(all.Error(), "\n")
}

func TestParse(t *testing.T) {
	Convey("A right file is taken with its defaults", t, func() {
		s, err := Parse("site.yaml", []byte(right))
		So(err, ShouldBeNil)
		So(s.Services[0].Attempts, ShouldEqual, 2)
		So(s.Services[0].Runs("GET"), ShouldBeTrue)
		So(s.Services[0].Runs("POST"), ShouldBeFalse)
		So(s.Preset().Name, ShouldEqual, "ordinary")
	})
	Convey("All mistakes of a file are named at once, each with its line", t, func() {
		text := strings.Replace(right, "slots: 3", "slotz: 3", 1)
		text = strings.Replace(text, "keyed: true", "keyed: true\n    deadline: 5", 1)
		text = strings.Replace(text, "retryShare: 0.05", "retryShare: many", 1)
		So(mistakes(text), ShouldResemble, []string{
			"site.yaml:5: services[0].deadline: 5 is not a time with its unit, as 250ms",
			"site.yaml:6: services[0].slotz: unknown field",
			"site.yaml:16: presets[1].retryShare: many is not a number",
		})
	})
	Convey("Rules beyond types name their lines too", t, func() {
		for text, want := range map[string]string{
			strings.Replace(right, "retryShare: 0.05", "inForce: true", 1):                          `site.yaml:15: presets[1].inForce: two presets in force, "ordinary" and "peak"`,
			strings.Replace(right, "name: peak", "name: ordinary", 1):                               `site.yaml:14: presets[1].name: "ordinary" stands twice`,
			strings.Replace(right, "service: workshop}", "service: x}", 1):                          `site.yaml:10: dataCentres[0].servers[0].service: no service "x"`,
			strings.Replace(right, "127.0.0.1:9001", "localhost:9001", 1):                           `site.yaml:10: dataCentres[0].servers[0].address: "localhost:9001" is no IP number with a port`,
			strings.Replace(right, "retryShare: 0.05", "out: [nowhere]", 1):                         `site.yaml:15: presets[1].out[0]: no data centre "nowhere"`,
			strings.Replace(right, "slots: 3", "attempts: -1\n    slots: 3", 1):                     `site.yaml:5: services[0].attempts: must be at least 1`,
			strings.Replace(right, "slots: 3", "keyByID: true\n    keySegment: 2\n    slots: 3", 1): `site.yaml:5: services[0].keyByID: needs keyed: true, and no keySegment`,
			strings.Replace(right, "retryShare: 0.05", "retryShare: 1.5", 1):                        `site.yaml:15: presets[1].retryShare: must be between 0 and 1`,
		} {
			if want != "" {
				So(mistakes(text), ShouldResemble, []string{want})
			}
		}
	})
	Convey("What is no YAML is named with its line", t, func() {
		So(mistakes("name: [small\nservices:"), ShouldHaveLength, 1)
		So(mistakes(""), ShouldResemble, []string{"site.yaml:1: file: the file is empty"})
	})
}

// Guards against a site file that undoes later commands of an operator.
func TestApplyKeepsLaterCommands(t *testing.T) {
	Convey("Applying a file switches neither preset nor marks back", t, func() {
		file, err := Parse("site.yaml", []byte(right))
		So(err, ShouldBeNil)
		s, err := Site{}.WithFile(file)
		So(err, ShouldBeNil)
		s, err = s.WithPreset("peak")
		So(err, ShouldBeNil)
		s, err = s.WithOut(Out{DataCentre: "duluth"})
		So(err, ShouldBeNil)
		s, err = s.WithFile(file)
		So(err, ShouldBeNil)
		So(s.Preset().Name, ShouldEqual, "peak")
		So(s.DataCentreOut("duluth"), ShouldBeTrue)
	})
	Convey("A file without the preset in force is refused", t, func() {
		file, err := Parse("site.yaml", []byte(right))
		So(err, ShouldBeNil)
		s, err := file.WithPreset("peak")
		So(err, ShouldBeNil)
		file.Presets = file.Presets[:1]
		_, err = s.WithFile(file)
		So(err, ShouldNotBeNil)
	})
}

func TestHostMarks(t *testing.T) {
	Convey("A host's IP number covers all its servers, and nothing else", t, func() {
		s := Site{Outs: []Out{{Host: "10.0.0.1"}}}
		So(s.HostOut("10.0.0.1:9000"), ShouldBeTrue)
		So(s.HostOut("10.0.0.11:9000"), ShouldBeFalse)
	})
}
