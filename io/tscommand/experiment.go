package tscommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// runExperiment runs one experiment and prints its result.
func runExperiment(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseExperiment(args, errOut)
	if err != nil {
		return err
	}
	result, err := o.Experiment.Run(ctx, o.Options)
	if err != nil {
		return err
	}
	if o.Format == formatJSON {
		return json.NewEncoder(out).Encode(result)
	}
	return writeTable(out, result)
}

// writeTable prints the JSON fields of a result, one per line. A nested field is named
// by its dotted path.
func writeTable(out io.Writer, result any) error {
	b, err := json.Marshal(result)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if err := writeValue(w, d, ""); err != nil {
		return err
	}
	return w.Flush()
}

// writeValue prints the next JSON value of d, with its fields in encoded order.
func writeValue(w io.Writer, d *json.Decoder, path string) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	delim, isNested := t.(json.Delim)
	if !isNested {
		_, err = fmt.Fprintf(w, "%s\t%v\n", path, t)
		return err
	}
	for i := 0; d.More(); i++ {
		name := fmt.Sprint(i)
		if delim == '{' {
			if t, err = d.Token(); err != nil {
				return err
			}
			name = fmt.Sprint(t)
		}
		if path != "" {
			name = path + "." + name
		}
		if err := writeValue(w, d, name); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}
