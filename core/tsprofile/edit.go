package tsprofile

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// Change is one field that differs between two versions of a profile.
type Change struct {
	Field string
	From  string
	To    string
}

// String describes the change.
func (c Change) String() string { return fmt.Sprintf("%s: %s -> %s", c.Field, c.From, c.To) }

// Changes returns the fields that differ, identified by their JSON names. The fields
// edited_by and edited_at are ignored.
func Changes(from, to turmericshed.Profile) []Change {
	var changes []Change
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		if name == "-" || name == "edited_by" || name == "edited_at" {
			continue
		}
		x, y := fieldText(a.Field(i)), fieldText(b.Field(i))
		if x != y {
			changes = append(changes, Change{Field: name, From: x, To: y})
		}
	}
	return changes
}

func fieldText(v reflect.Value) string {
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(b)
}

// NewEdit returns the update that replaces base by next in a single
// compare-and-swap on the version of base. If another edit was written first, the
// update fails with KindConflict, names the author and the changes of that edit,
// and writes nothing.
func NewEdit(base, next turmericshed.Profile) (*tsupdate.Update, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "profile %s", next.Name)
	}
	return tsupdate.New(turmericshed.ProfilePrefix+string(next.Name), func(cur turmericshed.Item) ([]byte, error) {
		if cur.Version == base.Version {
			return value, nil
		}
		if string(cur.Value) == string(value) {
			return nil, nil // an earlier write of this edit, whose answer was lost
		}
		return nil, conflict(base, cur)
	}), nil
}

// conflict returns the error that describes the edit written first.
func conflict(base turmericshed.Profile, cur turmericshed.Item) error {
	if cur.Version == 0 {
		return turmericshed.NewError(turmericshed.KindConflict, "profile %s was deleted meanwhile", base.Name)
	}
	won, err := Decode(cur)
	if err != nil {
		return err
	}
	changes := Changes(base, won)
	parts := make([]string, 0, len(changes))
	for _, c := range changes {
		parts = append(parts, c.String())
	}
	return turmericshed.NewError(turmericshed.KindConflict, "profile %s was edited by %q at %s (%s)",
		base.Name, won.EditedBy, won.EditedAt.UTC().Format("2006-01-02T15:04:05Z"), strings.Join(parts, "; "))
}

// Decode decodes a profile from its document in the store. Errors: KindBadRequest.
func Decode(item turmericshed.Item) (turmericshed.Profile, error) {
	var p turmericshed.Profile
	if err := json.Unmarshal(item.Value, &p); err != nil {
		return p, turmericshed.WrapError(turmericshed.KindBadRequest, err, "%s", item.Key)
	}
	p.Version = item.Version
	return p, nil
}
