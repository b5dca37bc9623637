package bluebellconfig

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "bluebellhaven.org/bluebell/bluebellpb"
)

const durationName = "google.protobuf.Duration"

// ParseQuestionnaire parses and checks a questionnaire in JSON with comments.
func ParseQuestionnaire(file string, text []byte) (*pb.Questionnaire, Findings) {
	var q pb.Questionnaire
	d := decode(file, text, &q)
	if len(d.findings) == 0 {
		checkQuestionnaire(d, &q)
	}
	return &q, d.sorted()
}

// LoadQuestionnaire reads and checks a file. Findings come as the error.
func LoadQuestionnaire(file string) (*pb.Questionnaire, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("answers: %w", err)
	}
	q, findings := ParseQuestionnaire(file, text)
	if !findings.Empty() {
		return nil, findings
	}
	return q, nil
}

// ParseProcessSettings parses the generated settings of one process.
func ParseProcessSettings(file string, text []byte) (*pb.ProcessSettings, Findings) {
	var s pb.ProcessSettings
	d := decode(file, text, &s)
	if len(d.findings) == 0 && s.VM == nil {
		d.add("", "the settings have no VM; generate them with bluebellctl")
	}
	return &s, d.sorted()
}

// ParseGateSettings parses the settings of one bluebellgate.
func ParseGateSettings(file string, text []byte) (*pb.GateSettings, Findings) {
	var s pb.GateSettings
	d := decode(file, text, &s)
	if len(d.findings) == 0 {
		d.require(map[string]string{"Name": s.Name, "Address": s.Address, "CallerAddress": s.CallerAddress, "Secret": s.Secret})
	}
	return &s, d.sorted()
}

// ParseCoreSettings parses the settings of one bluebellcore.
func ParseCoreSettings(file string, text []byte) (*pb.CoreSettings, Findings) {
	var s pb.CoreSettings
	d := decode(file, text, &s)
	if len(d.findings) == 0 {
		d.require(map[string]string{
			"Name": s.Name, "Address": s.Address, "ControlAddress": s.ControlAddress,
			"Secret": s.Secret, "DataFolder": s.DataFolder,
		})
	}
	return &s, d.sorted()
}

// require reports texts that are missing.
func (d *document) require(texts map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		if texts[name] == "" {
			d.add(name, "%s is missing", name)
		}
	}
}

// ParseConfiguration parses a generated configuration.
func ParseConfiguration(file string, text []byte) (*pb.Configuration, Findings) {
	var c pb.Configuration
	d := decode(file, text, &c)
	return &c, d.sorted()
}

// decode fills m from JSON with comments.
func decode(file string, text []byte, m proto.Message) *document {
	d := &document{file: file, text: text, offsets: map[string]int{}}
	if !utf8.Valid(text) {
		offset := 0
		for offset < len(text) {
			r, size := utf8.DecodeRune(text[offset:])
			if r == utf8.RuneError && size == 1 {
				break
			}
			offset += size
		}
		d.addAt(offset, "the text is not valid UTF-8")
		return d
	}
	// The tree shares its bytes with the parsed text, and is altered below.
	tree, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		d.addSyntax(err)
		return d
	}
	d.checkMessage("", &tree, m.ProtoReflect().Descriptor())
	if len(d.findings) > 0 {
		return d
	}
	tree.Standardize()
	if err := protojson.Unmarshal(tree.Pack(), m); err != nil {
		d.addAt(0, "%v", err)
	}
	return d
}

// addSyntax takes the place out of the parser's error text.
func (d *document) addSyntax(err error) {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		d.addAt(0, "%s", text)
		return
	}
	_, rest, _ := strings.Cut(text, ": ")
	_, rest, _ = strings.Cut(rest, ": ")
	d.findings = append(d.findings, Finding{d.file, line, column, "not JSON with comments: " + rest})
}

func (d *document) checkMessage(path string, v *hujson.Value, md protoreflect.MessageDescriptor) {
	d.offsets[path] = v.StartOffset
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addAt(v.StartOffset, "%s must be an object", placeName(path))
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := md.Fields().ByName(protoreflect.Name(name))
		switch {
		case field == nil:
			d.addAt(member.Name.StartOffset, "unknown field %q in %s; accepted: %s", name, placeName(path), fieldNames(md))
			continue
		case seen[name]:
			d.addAt(member.Name.StartOffset, "field %q stands twice in %s", name, placeName(path))
			continue
		}
		seen[name] = true
		d.checkField(join(path, name), &member.Value, field)
	}
}

func (d *document) checkField(path string, v *hujson.Value, field protoreflect.FieldDescriptor) {
	if !field.IsList() {
		d.checkValue(path, v, field)
		return
	}
	d.offsets[path] = v.StartOffset
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addAt(v.StartOffset, "%s must be a list", path)
		return
	}
	for i := range array.Elements {
		d.checkValue(path+"["+strconv.Itoa(i)+"]", &array.Elements[i], field)
	}
}

func (d *document) checkValue(path string, v *hujson.Value, field protoreflect.FieldDescriptor) {
	d.offsets[path] = v.StartOffset
	literal, isLiteral := v.Value.(hujson.Literal)
	isText := isLiteral && literal.Kind() == '"'
	switch field.Kind() {
	case protoreflect.MessageKind:
		if field.Message().FullName() == durationName {
			if !isText || !validDuration(literal.String()) {
				d.addAt(v.StartOffset, "%s must be a duration in seconds such as \"2.5s\", from 0s to 8760 hours", path)
			}
			return
		}
		d.checkMessage(path, v, field.Message())
	case protoreflect.StringKind:
		if !isText {
			d.addAt(v.StartOffset, "%s must be a text", path)
		}
	case protoreflect.BoolKind:
		if !isLiteral || literal.Kind() != 't' && literal.Kind() != 'f' {
			d.addAt(v.StartOffset, "%s must be true or false", path)
		}
	case protoreflect.EnumKind:
		if !isText || field.Enum().Values().ByName(protoreflect.Name(literal.String())) == nil {
			d.addAt(v.StartOffset, "%s must be one of %s", path, enumNames(field.Enum()))
		}
	case protoreflect.Uint32Kind:
		if !isLiteral || literal.Kind() != '0' || !wholeNumber(string(literal)) {
			d.addAt(v.StartOffset, "%s must be a whole number from 0 to %d", path, uint32(math.MaxUint32))
		}
	case protoreflect.DoubleKind:
		if !isLiteral || literal.Kind() != '0' {
			d.addAt(v.StartOffset, "%s must be a number", path)
		}
	default:
		d.addAt(v.StartOffset, "%s has a kind that settings do not use", path)
	}
}

func wholeNumber(s string) bool {
	_, err := strconv.ParseUint(s, 10, 32)
	return err == nil
}

// validDuration accepts the JSON form of a protobuf duration.
func validDuration(s string) bool {
	number, ok := strings.CutSuffix(s, "s")
	if !ok || strings.ContainsAny(number, "+-eExXpPnN_iI") || number == "" {
		return false
	}
	seconds, err := strconv.ParseFloat(number, 64)
	_, fraction, _ := strings.Cut(number, ".")
	return err == nil && seconds <= (365*24*time.Hour).Seconds() && len(fraction) <= 9 && number[0] != '.'
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func placeName(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}

func fieldNames(md protoreflect.MessageDescriptor) string {
	var names []string
	for i := range md.Fields().Len() {
		names = append(names, string(md.Fields().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

func enumNames(ed protoreflect.EnumDescriptor) string {
	var names []string
	for i := range ed.Values().Len() {
		if v := ed.Values().Get(i); v.Number() != 0 {
			names = append(names, strconv.Quote(string(v.Name())))
		}
	}
	return strings.Join(names, ", ")
}
