package tree

// Setting is one effective value and where it came from.
type Setting struct {
	Key   string `json:"key"`
	Value Value  `json:"value"`
	// Default says that no level states the value, else From is the level that does.
	Default bool `json:"default"`
	From    Path `json:"from"`
	// Line is the line of the statement, zero for a default.
	Line int `json:"line,omitempty"`
}

// Origin names where the value came from, for people.
func (s Setting) Origin() string {
	if s.Default {
		return "default"
	}

	return s.From.String()
}

// Effective returns every setting in force at that place, service and kind, each with its origin.
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

// policyAt applies the chain of statements to the defaults.
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

// applicable returns the statements that reach the path, the more specific ones later.
func (t *Tree) applicable(at Path) []Statement {
	var statements []Statement
	for _, path := range at.resolutionOrder() {
		for _, i := range t.byPath[path] {
			statements = append(statements, t.statements[i])
		}
	}

	return statements
}
