package tscommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"turmericshed"
	"turmericshed/core/tscheck"
	"turmericshed/platform"
)

// checkReport is the output of the check subcommand.
type checkReport struct {
	Findings []tscheck.Finding `json:"findings"`
	// Changes are empty without a desired state in force to compare with.
	Changes []tscheck.Change `json:"changes"`
	Valid   bool             `json:"valid"`
}

// runCheck checks a desired state and compares it with the one in force. It returns an
// error of KindConflict if the desired state has errors.
func runCheck(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseCheck(args, errOut)
	if err != nil {
		return err
	}
	text, err := readDocument(o.file)
	if err != nil {
		return err
	}
	inForce, isKnown, err := o.readInForce(ctx)
	if err != nil {
		return err
	}
	rep := checkDesiredState(text)
	if isKnown {
		rep.compare(inForce, text)
	}
	rep.Valid = !tscheck.HasErrors(rep.Findings)
	if err := rep.write(out, o.format); err != nil {
		return err
	}
	if !rep.Valid {
		return turmericshed.NewError(turmericshed.KindConflict, "the desired state has errors")
	}
	return nil
}

// readInForce returns the desired state in force, and false if none is named.
func (o checkOptions) readInForce(ctx context.Context) (turmericshed.RoutingTable, bool, error) {
	var none turmericshed.RoutingTable
	var text []byte
	switch {
	case o.against != "":
		t, err := readDocument(o.against)
		if err != nil {
			return none, false, err
		}
		text = t
	case o.storeAddr.IsValid():
		item, err := platform.NewStore(o.storeAddr, platform.StoreOptions{}).Get(ctx, platform.TableKey)
		if err != nil {
			return none, false, err
		}
		if item.Version == 0 {
			return none, false, turmericshed.NewError(turmericshed.KindNotFound, "the store has no desired state")
		}
		text = item.Value
	default:
		return none, false, nil
	}
	t, err := platform.DecodeTable(text)
	return t, err == nil, turmericshed.WrapError(turmericshed.KindInternal, err, "the desired state in force")
}

// checkDesiredState returns the findings on a desired state by itself.
func checkDesiredState(text []byte) checkReport {
	rep := checkReport{Findings: []tscheck.Finding{}, Changes: []tscheck.Change{}}
	invalid, ineffective := platform.ValidateTable(text)
	for _, err := range invalid {
		rep.Findings = append(rep.Findings, tscheck.Finding{Severity: tscheck.Error, Code: "invalid_value", Subject: "document", Detail: err.Error()})
	}
	for _, err := range ineffective {
		rep.Findings = append(rep.Findings, tscheck.Finding{Severity: tscheck.Warning, Code: "no_effect", Subject: "document", Detail: err.Error()})
	}
	if t, err := platform.DecodeTable(text); err == nil {
		rep.Findings = append(rep.Findings, tscheck.Check(t)...)
	}
	return rep
}

// compare adds the differences from the desired state in force.
func (r *checkReport) compare(inForce turmericshed.RoutingTable, text []byte) {
	t, err := platform.DecodeTable(text)
	if err != nil {
		return
	}
	r.Findings = append(r.Findings, tscheck.CheckUpdate(inForce, t)...)
	r.Changes = append(r.Changes, tscheck.Diff(inForce, t)...)
}

func (r *checkReport) write(out io.Writer, format string) error {
	if format == formatJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(out, "change:", c); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%d findings, %d changes\n", len(r.Findings), len(r.Changes))
	return err
}
