package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
)

const tabPadding = 2

// printMessage prints a message as indented JSON.
func printMessage(m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encoding the output")
	}
	fmt.Println(string(data))
	return nil
}

// printValue prints a value as indented JSON.
func printValue(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "encoding the output")
}

// printTable prints rows under a heading.
func printTable(heading string, rows []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(w, heading)
	for _, row := range rows {
		fmt.Fprintln(w, row)
	}
	_ = w.Flush()
}

func (f *operatorFlags) printOutcome(outcome *state.Outcome) error {
	if f.output == "json" {
		return printMessage(outcome)
	}
	fmt.Println("accepted as revision", outcome.GetRevision())
	return nil
}
