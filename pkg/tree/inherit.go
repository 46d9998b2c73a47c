package tree

// Setting is the effective value of a setting and its origin.
type Setting struct {
	Key   string `json:"key"`
	Value Value  `json:"value"`
	// Default reports that no level states the value; otherwise From is the level that does.
	Default bool `json:"default"`
	From    Path `json:"from"`
	// Line is the line of the statement, 0 for a default.
	Line int `json:"line,omitempty"`
}

// Origin returns the level that states the value, or "default", for display.
func (s Setting) Origin() string {
	if s.Default {
		return "default"
	}

	return s.From.String()
}

// Effective returns the effective value and the origin of every policy setting at the path.
func (t *Tree) Effective(at Path) []Setting {
	policy := DefaultPolicy()
	settings := make([]Setting, 0, len(keys))
	for _, key := range keys {
		if key.get == nil {
			continue
		}
		setting := Setting{Key: key.Name, Value: key.get(&policy), Default: true}
		for _, s := range t.applicable(at) {
			if s.Key == key.Name {
				setting = Setting{Key: key.Name, Value: s.Value, From: s.Path, Line: s.Line}
			}
		}
		settings = append(settings, setting)
	}

	return settings
}

// policyAt returns the effective policy at the path: the defaults, overridden by the applicable statements.
func (t *Tree) policyAt(at Path) Policy {
	policy := DefaultPolicy()
	for _, s := range t.applicable(at) {
		if set := keysByName[s.Key].set; set != nil {
			set(&policy, s.Value)
		}
	}
	policy.Service, policy.Kind = at.Service, at.Kind

	return policy
}

// applicable returns the statements that apply to the path, from the least to the most specific.
func (t *Tree) applicable(at Path) []Statement {
	var statements []Statement
	for _, path := range at.resolutionOrder() {
		for _, i := range t.byPath[path] {
			statements = append(statements, t.statements[i])
		}
	}

	return statements
}
