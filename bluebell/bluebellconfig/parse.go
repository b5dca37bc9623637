package bluebellconfig

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"net"
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

// durationFullName is the full name of the protobuf message for durations.
const durationFullName = "google.protobuf.Duration"

// ParseQuestionnaire parses a questionnaire in JSON with comments and checks its answers.
// The file name is used in findings only.
func ParseQuestionnaire(file string, text []byte) (*pb.Questionnaire, Findings) {
	var q pb.Questionnaire
	d := decode(file, text, &q)
	if len(d.findings) == 0 {
		checkQuestionnaire(d, &q)
	}
	return &q, d.sortedFindings()
}

// LoadQuestionnaire reads a questionnaire from a file and checks its answers. If there are
// findings, it returns them as the error.
func LoadQuestionnaire(file string) (*pb.Questionnaire, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read answers: %w", err)
	}
	q, findings := ParseQuestionnaire(file, text)
	if !findings.Empty() {
		return nil, findings
	}
	return q, nil
}

// ParseProcessSettings parses the generated settings of the process on one VM.
func ParseProcessSettings(file string, text []byte) (*pb.ProcessSettings, Findings) {
	var s pb.ProcessSettings
	d := decode(file, text, &s)
	if len(d.findings) == 0 && s.VM == nil {
		d.addFinding("", "the settings have no VM; generate them with bluebellctl")
	}
	return &s, d.sortedFindings()
}

// ParseGateSettings parses the settings of one bluebellgate process.
func ParseGateSettings(file string, text []byte) (*pb.GateSettings, Findings) {
	var s pb.GateSettings
	d := decode(file, text, &s)
	if len(d.findings) == 0 {
		d.requireFields(map[string]string{"Name": s.Name, "Address": s.Address, "CallerAddress": s.CallerAddress, "Secret": s.Secret})
		d.checkUsage(s.Bounds)
	}
	return &s, d.sortedFindings()
}

// ParseCoreSettings parses the settings of one bluebellcore process.
func ParseCoreSettings(file string, text []byte) (*pb.CoreSettings, Findings) {
	var s pb.CoreSettings
	d := decode(file, text, &s)
	if len(d.findings) == 0 {
		d.requireFields(map[string]string{
			"Name": s.Name, "Address": s.Address, "ControlAddress": s.ControlAddress,
			"Secret": s.Secret, "DataFolder": s.DataFolder,
		})
		d.checkProvider(s.Provider)
		d.checkUsage(s.Bounds)
	}
	return &s, d.sortedFindings()
}

// AddSettings parses settings, of which any may be missing, and adds them to others of the same type.
func AddSettings(file string, text []byte, to proto.Message) Findings {
	added := to.ProtoReflect().New().Interface()
	d := decode(file, text, added)
	if len(d.findings) == 0 {
		proto.Merge(to, added)
		switch s := to.(type) {
		case *pb.CoreSettings:
			d.checkProvider(s.Provider)
			d.checkUsage(s.Bounds)
		case *pb.GateSettings:
			d.checkUsage(s.Bounds)
		}
	}
	return d.sortedFindings()
}

// checkProvider checks the provider's settings, which may be unset.
func (d *document) checkProvider(p *pb.Provider) {
	if p == nil {
		return
	}
	if _, _, err := net.SplitHostPort(p.Address); err != nil {
		d.addFinding("Provider.Address", "Provider.Address %q must be an IP address and a port", p.Address)
	}
	if p.CallsPerSecond <= 0 {
		d.addFinding("Provider.CallsPerSecond", "Provider.CallsPerSecond must be greater than 0")
	}
}

// checkUsage checks the bounds on reports of usage, each of which may be unset.
func (d *document) checkUsage(b *pb.Bounds) {
	if b.GetUsageWindow() != nil && b.UsageWindow.AsDuration() <= 0 {
		d.addFinding("Bounds.UsageWindow", "Bounds.UsageWindow must be longer than 0s")
	}
	if b.GetUsageTolerance() < 0 {
		d.addFinding("Bounds.UsageTolerance", "Bounds.UsageTolerance must not be negative")
	}
}

// requireFields adds a finding for each field whose value is empty. It takes the values by
// field name.
func (d *document) requireFields(values map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] == "" {
			d.addFinding(name, "%s is missing", name)
		}
	}
}

// ParseConfiguration parses a generated configuration.
func ParseConfiguration(file string, text []byte) (*pb.Configuration, Findings) {
	var c pb.Configuration
	d := decode(file, text, &c)
	return &c, d.sortedFindings()
}

// decode parses JSON with comments into m. If the text has findings, m is incomplete.
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
		d.addFindingAt(offset, "the text is not valid UTF-8")
		return d
	}
	// The tree shares its bytes with the parsed text, and Standardize modifies them below.
	tree, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.checkMessage("", &tree, m.ProtoReflect().Descriptor())
	if len(d.findings) > 0 {
		return d
	}
	tree.Standardize()
	if err := protojson.Unmarshal(tree.Pack(), m); err != nil {
		d.addFindingAt(0, "%v", err)
	}
	return d
}

// addSyntaxError adds a finding for an error of the JSON parser. The position is parsed
// from the error text, which is the only place that has it.
func (d *document) addSyntaxError(err error) {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		d.addFindingAt(0, "%s", text)
		return
	}
	_, message, _ := strings.Cut(text, ": ")
	_, message, _ = strings.Cut(message, ": ")
	d.findings = append(d.findings, Finding{d.file, line, column, "not JSON with comments: " + message})
}

// checkMessage checks that v is an object whose fields belong to the message md and have
// values of the right kinds, and records the offsets of all values.
func (d *document) checkMessage(path string, v *hujson.Value, md protoreflect.MessageDescriptor) {
	d.offsets[path] = v.StartOffset
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFindingAt(v.StartOffset, "%s must be an object", displayPath(path))
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := md.Fields().ByName(protoreflect.Name(name))
		switch {
		case field == nil:
			d.addFindingAt(member.Name.StartOffset, "unknown field %q in %s; accepted: %s", name, displayPath(path), fieldNames(md))
			continue
		case seen[name]:
			d.addFindingAt(member.Name.StartOffset, "field %q stands twice in %s", name, displayPath(path))
			continue
		}
		seen[name] = true
		d.checkField(joinPath(path, name), &member.Value, field)
	}
}

// checkMap checks that v is an object whose values have the kind of the map's values.
func (d *document) checkMap(path string, v *hujson.Value, field protoreflect.FieldDescriptor) {
	d.offsets[path] = v.StartOffset
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFindingAt(v.StartOffset, "%s must be an object", path)
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.addFindingAt(member.Name.StartOffset, "field %q stands twice in %s", name, path)
			continue
		}
		seen[name] = true
		d.checkValue(joinPath(path, name), &member.Value, field.MapValue())
	}
}

// checkField checks the value of a field, or each element if the field is a list or map.
func (d *document) checkField(path string, v *hujson.Value, field protoreflect.FieldDescriptor) {
	switch {
	case field.IsMap():
		d.checkMap(path, v, field)
		return
	case !field.IsList():
		d.checkValue(path, v, field)
		return
	}
	d.offsets[path] = v.StartOffset
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFindingAt(v.StartOffset, "%s must be a list", path)
		return
	}
	for i := range array.Elements {
		d.checkValue(path+"["+strconv.Itoa(i)+"]", &array.Elements[i], field)
	}
}

// checkValue checks that a single value has the kind of its field.
func (d *document) checkValue(path string, v *hujson.Value, field protoreflect.FieldDescriptor) {
	d.offsets[path] = v.StartOffset
	literal, isLiteral := v.Value.(hujson.Literal)
	isText := isLiteral && literal.Kind() == '"'
	switch field.Kind() {
	case protoreflect.MessageKind:
		if field.Message().FullName() == durationFullName {
			if !isText || !validDuration(literal.String()) {
				d.addFindingAt(v.StartOffset, "%s must be a duration in seconds such as \"2.5s\", from 0s to 8760 hours", path)
			}
			return
		}
		d.checkMessage(path, v, field.Message())
	case protoreflect.StringKind:
		if !isText {
			d.addFindingAt(v.StartOffset, "%s must be a text", path)
		}
	case protoreflect.BoolKind:
		if !isLiteral || literal.Kind() != 't' && literal.Kind() != 'f' {
			d.addFindingAt(v.StartOffset, "%s must be true or false", path)
		}
	case protoreflect.EnumKind:
		if !isText || field.Enum().Values().ByName(protoreflect.Name(literal.String())) == nil {
			d.addFindingAt(v.StartOffset, "%s must be one of %s", path, enumNames(field.Enum()))
		}
	case protoreflect.Uint32Kind:
		if !isLiteral || literal.Kind() != '0' || !isUint32(string(literal)) {
			d.addFindingAt(v.StartOffset, "%s must be a whole number from 0 to %d", path, uint32(math.MaxUint32))
		}
	case protoreflect.DoubleKind:
		if !isLiteral || literal.Kind() != '0' {
			d.addFindingAt(v.StartOffset, "%s must be a number", path)
		}
	default:
		d.addFindingAt(v.StartOffset, "%s has a kind that settings do not use", path)
	}
}

// isUint32 reports whether s is an unsigned decimal integer that fits into 32 bits.
func isUint32(s string) bool {
	_, err := strconv.ParseUint(s, 10, 32)
	return err == nil
}

// validDuration reports whether s is a duration as protobuf encodes it in JSON: decimal
// seconds with at most 9 fraction digits and the suffix s. It rejects negative durations
// and those longer than 8760 hours.
func validDuration(s string) bool {
	number, ok := strings.CutSuffix(s, "s")
	if !ok || strings.ContainsAny(number, "+-eExXpPnN_iI") || number == "" {
		return false
	}
	seconds, err := strconv.ParseFloat(number, 64)
	_, fraction, _ := strings.Cut(number, ".")
	return err == nil && seconds <= (365*24*time.Hour).Seconds() && len(fraction) <= 9 && number[0] != '.'
}

// joinPath returns the path of the field name in the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// displayPath returns path as findings print it.
func displayPath(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}

// fieldNames returns the names of all fields of a message, separated by commas.
func fieldNames(md protoreflect.MessageDescriptor) string {
	var names []string
	for i := range md.Fields().Len() {
		names = append(names, string(md.Fields().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

// enumNames returns the quoted names of all enum values but the unset one.
func enumNames(ed protoreflect.EnumDescriptor) string {
	var names []string
	for i := range ed.Values().Len() {
		if v := ed.Values().Get(i); v.Number() != 0 {
			names = append(names, strconv.Quote(string(v.Name())))
		}
	}
	return strings.Join(names, ", ")
}
