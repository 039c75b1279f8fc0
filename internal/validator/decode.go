package validator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

const durationFullName protoreflect.FullName = "google.protobuf.Duration"

// Decode unmarshals a JSON document into m. It returns a fault for every unknown
// field and every value of a wrong type; m is valid only if there are none.
func Decode(document []byte, m proto.Message) []Fault {
	faults := checkMessage("$", document, m.ProtoReflect().Descriptor())
	if len(faults) > 0 {
		return faults
	}
	if err := protojson.Unmarshal(document, m); err != nil {
		return []Fault{{Path: "$", Problem: err.Error(), Allowed: "a JSON object"}}
	}
	return nil
}

func checkMessage(path string, document []byte, d protoreflect.MessageDescriptor) []Fault {
	fields, fault := splitObject(path, document)
	if fault != nil {
		return []Fault{*fault}
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var faults []Fault
	for _, name := range names {
		field := d.Fields().ByJSONName(name)
		if field == nil {
			faults = append(faults, Fault{
				Path:    path + "." + name,
				Problem: "unknown field",
				Allowed: "one of " + strings.Join(fieldNames(d), ", "),
			})
			continue
		}
		faults = append(faults, checkField(path+"."+name, fields[name], field)...)
	}
	return faults
}

// splitObject returns the fields of a JSON object. Unlike encoding/json it rejects
// duplicate names.
func splitObject(path string, document []byte) (map[string]json.RawMessage, *Fault) {
	malformed := func(err error) *Fault {
		return &Fault{Path: path, Problem: err.Error(), Allowed: "a JSON object"}
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	token, err := decoder.Token()
	if err != nil {
		return nil, malformed(err)
	}
	if token != json.Delim('{') {
		return nil, &Fault{Path: path, Problem: fmt.Sprintf("found %v", token), Allowed: "a JSON object"}
	}
	fields := map[string]json.RawMessage{}
	for decoder.More() {
		token, err = decoder.Token()
		if err != nil {
			return nil, malformed(err)
		}
		name, _ := token.(string)
		var raw json.RawMessage
		if err = decoder.Decode(&raw); err != nil {
			return nil, malformed(err)
		}
		if _, found := fields[name]; found {
			return nil, &Fault{Path: path + "." + name, Problem: "duplicate field", Allowed: "each field once"}
		}
		fields[name] = raw
	}
	if _, err = decoder.Token(); err != nil {
		return nil, malformed(err)
	}
	return fields, nil
}

func checkField(path string, raw json.RawMessage, field protoreflect.FieldDescriptor) []Fault {
	switch {
	case field.IsList():
		return checkList(path, raw, field)
	case field.IsMap():
		return checkMap(path, raw, field)
	default:
		return checkValue(path, raw, field)
	}
}

// checkMap checks the keys and values of a map, which are the fields of its entries.
func checkMap(path string, raw json.RawMessage, field protoreflect.FieldDescriptor) []Fault {
	entries, fault := splitObject(path, raw)
	if fault != nil {
		return []Fault{*fault}
	}
	var faults []Fault
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		encoded, err := json.Marshal(key)
		if err != nil {
			return []Fault{{Path: path, Problem: err.Error(), Allowed: "a JSON object"}}
		}
		faults = append(faults, checkValue(path+"."+key, encoded, field.MapKey())...)
		if string(entries[key]) == "null" {
			faults = append(faults, Fault{Path: path + "." + key, Problem: "found null", Allowed: allowedType(field.MapValue())})
			continue
		}
		faults = append(faults, checkValue(path+"."+key, entries[key], field.MapValue())...)
	}
	return faults
}

func checkList(path string, raw json.RawMessage, field protoreflect.FieldDescriptor) []Fault {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return []Fault{{Path: path, Problem: "not an array", Allowed: "a JSON array"}}
	}
	var faults []Fault
	for i, item := range items {
		faults = append(faults, checkValue(fmt.Sprintf("%s[%d]", path, i), item, field)...)
	}
	return faults
}

// checkValue checks a value that is not a list, or one element of a list. Scalars and
// durations are unmarshalled as the only field of a scratch message, so that protojson's
// rules for their types apply.
func checkValue(path string, raw json.RawMessage, field protoreflect.FieldDescriptor) []Fault {
	message := field.Message()
	if message != nil && message.FullName() != durationFullName {
		return checkMessage(path, raw, message)
	}
	value := string(raw)
	if field.IsList() {
		value = "[" + value + "]"
	}
	document := fmt.Sprintf("{%q:%s}", field.JSONName(), value)
	scratch := dynamicpb.NewMessage(field.ContainingMessage())
	if err := protojson.Unmarshal([]byte(document), scratch); err != nil {
		return []Fault{{Path: path, Problem: "found " + string(raw), Allowed: allowedType(field)}}
	}
	return nil
}

// allowedType describes the valid values of a field that is a scalar or a duration.
func allowedType(field protoreflect.FieldDescriptor) string {
	if field.Message() != nil {
		return `a duration in seconds such as "0.5s"`
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		return "a string"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.DoubleKind, protoreflect.FloatKind:
		return "a number"
	default:
		return "an integer"
	}
}

func fieldNames(d protoreflect.MessageDescriptor) []string {
	names := make([]string, 0, d.Fields().Len())
	for i := range d.Fields().Len() {
		names = append(names, d.Fields().Get(i).JSONName())
	}
	return names
}
