package tree

import (
	"fmt"
	"slices"
	"strings"
)

// Change is a setting whose stated value differs between two trees.
type Change struct {
	Path Path   `json:"path"`
	Key  string `json:"key"`
	// Before and After are the stated values, nil if the tree does not state the setting.
	Before *Value `json:"before,omitempty"`
	After  *Value `json:"after,omitempty"`
}

// Dotted returns the dotted key of the changed setting.
func (c Change) Dotted() string {
	return c.Path.Dotted(c.Key)
}

// String formats the change as one line.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Dotted(), valueText(c.Before), valueText(c.After))
}

// valueText formats a stated value, nil as inherited.
func valueText(v *Value) string {
	if v == nil {
		return "(inherited)"
	}

	return v.String()
}

// Diff returns the changes that turn one tree into the other, sorted by dotted key.
func Diff(from, to *Tree) []Change {
	var changes []Change
	for _, s := range to.statements {
		before, found := from.Statement(s.Dotted())
		after := s.Value
		switch {
		case !found:
			changes = append(changes, Change{Path: s.Path, Key: s.Key, After: &after})
		case !before.Value.Equal(s.Value):
			changes = append(changes, Change{Path: s.Path, Key: s.Key, Before: &before.Value, After: &after})
		}
	}
	for _, s := range from.statements {
		if _, found := to.Statement(s.Dotted()); !found {
			before := s.Value
			changes = append(changes, Change{Path: s.Path, Key: s.Key, Before: &before})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Dotted(), b.Dotted()) })

	return changes
}

// Conflict is a setting that two edits of the same base tree changed to different values.
type Conflict struct {
	Dotted string `json:"dotted"`
	// Base, Head and Edit are the values in the common base, in the latest accepted revision and in the edit; nil if not stated.
	Base *Value `json:"base,omitempty"`
	Head *Value `json:"head,omitempty"`
	Edit *Value `json:"edit,omitempty"`
}

// Error formats the conflict as one line with all three values.
func (c Conflict) Error() string {
	return fmt.Sprintf("%s: was %s, accepted meanwhile %s, this edit %s", c.Dotted, valueText(c.Base), valueText(c.Head), valueText(c.Edit))
}

// Conflicts is the error of a merge whose edits set the same settings to different values.
type Conflicts []Conflict

// Error formats the conflicts, one per line.
func (c Conflicts) Error() string {
	lines := make([]string, len(c))
	for i, conflict := range c {
		lines[i] = conflict.Error()
	}

	return strings.Join(lines, "\n")
}

// Merge applies the changes from base to edit to head. The error is Conflicts, or Problems if the merged tree is invalid.
func Merge(base, head, edit *Tree) (*Tree, error) {
	if base.text == head.text {
		return edit, nil
	}
	headChanges := map[string]Change{}
	for _, change := range Diff(base, head) {
		headChanges[change.Dotted()] = change
	}
	var conflicts Conflicts
	var toApply []Change
	for _, change := range Diff(base, edit) {
		other, changedInHead := headChanges[change.Dotted()]
		switch {
		case !changedInHead:
			toApply = append(toApply, change)
		case !sameValue(other.After, change.After):
			conflicts = append(conflicts, Conflict{Dotted: change.Dotted(), Base: change.Before, Head: other.After, Edit: change.After})
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}

	return head.Apply(toApply)
}

func sameValue(a, b *Value) bool {
	if a == nil || b == nil {
		return a == b
	}

	return a.Equal(*b)
}
