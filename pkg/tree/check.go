package tree

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiotack/pistachiotack/pkg/spell"
)

// readDeclarations stores and checks the lists of places and services that the text declares.
func (r *reader) readDeclarations() {
	for _, s := range r.tree.statements {
		switch s.Key {
		case keyPlaces:
			r.tree.places = s.Value.list
		case keyServices:
			r.tree.services = s.Value.list
		default:
			continue
		}
		r.checkDeclaration(s)
	}
}

// checkDeclaration reports invalid and duplicate names in a declared list.
func (r *reader) checkDeclaration(s Statement) {
	seen := map[string]bool{}
	for _, name := range s.Value.list {
		if !validName(name) || seen[name] {
			r.addProblem(CodeContradiction, s.Key, s.Line, fmt.Sprintf("%q", name), "", "each name once, of lower-case letters, digits and hyphens")
		}
		seen[name] = true
	}
}

// validName reports whether the name consists of lower-case letters, digits and hyphens.
func validName(name string) bool {
	invalid := func(c rune) bool { return (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' }

	return name != "" && !strings.ContainsFunc(name, invalid)
}

// validKind reports whether the name is valid for a kind; unlike other names, it may have upper-case letters.
func validKind(name string) bool {
	return validName(strings.ToLower(name))
}

// checkLevels reports levels whose place, service or kind is not declared, each level once.
func (r *reader) checkLevels() {
	reported := map[Path]bool{}
	for _, table := range r.tables {
		if reported[table.path] {
			continue
		}
		reported[table.path] = true
		r.checkDeclaredName(CodeUnknownPlace, table, table.path.Place, r.tree.places, keyPlaces)
		r.checkDeclaredName(CodeUnknownService, table, table.path.Service, r.tree.services, keyServices)
		if table.path.Place != "" {
			r.checkDeclaredName(CodeUnknownKind, table, table.path.Kind, r.tree.Kinds(table.path.Service), "service."+table.path.Service+".kind")
		}
	}
}

// checkDeclaredName reports a name that is not declared; declaredBy is the key that declares such names.
func (r *reader) checkDeclaredName(code Code, table table, name string, declared []string, declaredBy string) {
	if name == "" || slices.Contains(declared, name) {
		return
	}
	allowed := joinNames(declared)
	if len(declared) == 0 {
		allowed = "none is declared in " + declaredBy
	}
	r.addProblem(code, table.path.String(), table.line, fmt.Sprintf("%q", name), spell.Nearest(name, declared), allowed)
}

// checkKinds reports kinds without a path pattern, with an invalid one, or that match the same requests as another kind.
func (r *reader) checkKinds() {
	kindByMatch := map[string]string{}
	kindCounts := map[string]int{}
	for _, path := range r.kindPaths() {
		line := r.lineOf(path)
		if !validKind(path.Kind) {
			r.addProblem(CodeContradiction, path.String(), line, fmt.Sprintf("%q", path.Kind), "", "a name of letters, digits and hyphens")
		}
		pattern, found := r.tree.Statement(path.Dotted(keyPath))
		if !found {
			r.addProblem(CodeContradiction, path.String(), line, "a kind without path", "", `path = "/readings/*"`)

			continue
		}
		if kindCounts[path.Service]++; kindCounts[path.Service] > maxKindsPerService {
			r.addProblem(CodeTooLarge, path.String(), line, "kinds of the service", "", fmt.Sprintf("up to %d", maxKindsPerService))
		}
		if !validPattern(pattern.Value.text) {
			r.addProblem(CodeBadUnit, pattern.Dotted(), pattern.Line, pattern.Value.String(), "", `"/a/*/b" or "/a/**"`)
		}
		method, hasMethod := r.tree.Statement(path.Dotted(keyMethod))
		if hasMethod && !slices.Contains(methods, method.Value.text) {
			r.addProblem(CodeBadUnit, method.Dotted(), method.Line, method.Value.String(), spell.Nearest(method.Value.text, methods), strings.Join(methods, ", "))
		}
		match := path.Service + " " + method.Value.text + " " + pattern.Value.text
		if other, taken := kindByMatch[match]; taken {
			r.addProblem(CodeContradiction, path.String(), line, "matches the same requests as "+other, "", "one kind for each method and path")
		}
		kindByMatch[match] = path.Kind
	}
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// kindPaths returns the path of each kind declared for a service, without duplicates.
func (r *reader) kindPaths() []Path {
	var paths []Path
	seen := map[Path]bool{}
	for _, table := range r.tables {
		if table.path.Place == "" && table.path.Kind != "" && !seen[table.path] {
			seen[table.path] = true
			paths = append(paths, table.path)
		}
	}

	return paths
}

// lineOf returns the first line that names the level, 0 if none does.
func (r *reader) lineOf(path Path) int {
	for _, table := range r.tables {
		if table.path == path {
			return table.line
		}
	}

	return 0
}

// checkPolicies reports effective policies whose settings contradict each other, which only shows after inheritance.
// It does nothing if there are other problems.
func (r *reader) checkPolicies() {
	if len(r.problems) > 0 {
		return
	}
	reported := map[string]bool{}
	for _, at := range r.tree.scopes() {
		policy := r.tree.policyAt(at)
		if message := contradiction(policy); message != "" && !reported[message+at.Service+at.Kind] {
			reported[message+at.Service+at.Kind] = true
			r.addProblem(CodeContradiction, at.String(), r.lineOf(at), message, "", "")
		}
	}
}

// contradiction describes the first conflict between settings of the policy, empty for none.
func contradiction(p Policy) string {
	switch {
	case p.Once && p.Idempotent:
		return "once and idempotent exclude each other"
	case p.Once && p.Stream:
		return "once and stream exclude each other"
	case p.LimitMax > 0 && p.LimitMin > p.LimitMax:
		return fmt.Sprintf("limitMin %d is above limitMax %d", p.LimitMin, p.LimitMax)
	case p.BufferAnswer > p.BufferTotal:
		return fmt.Sprintf("bufferAnswer %s is above bufferTotal %s", formatSize(p.BufferAnswer), formatSize(p.BufferTotal))
	case p.QueueWait > p.Deadline:
		return fmt.Sprintf("queueWait %s is above deadline %s", formatDuration(p.QueueWait), formatDuration(p.Deadline))
	default:
		return ""
	}
}

// scopes returns every combination of place, service and kind that can have a distinct policy.
func (t *Tree) scopes() []Path {
	var scopes []Path
	for _, place := range append([]string{""}, t.places...) {
		if place != "" && !t.hasSettingsAt(place) {
			continue
		}
		scopes = append(scopes, Path{Place: place})
		for _, service := range t.services {
			scopes = append(scopes, Path{Place: place, Service: service})
			for _, kind := range t.Kinds(service) {
				scopes = append(scopes, Path{Place: place, Service: service, Kind: kind})
			}
		}
	}

	return scopes
}

// CheckPath returns the first problem with a place, service or kind that the tree does not declare, nil if all are declared.
func (t *Tree) CheckPath(at Path) *Problem {
	r := &reader{tree: t}
	level := table{path: at}
	r.checkDeclaredName(CodeUnknownPlace, level, at.Place, t.places, keyPlaces)
	r.checkDeclaredName(CodeUnknownService, level, at.Service, t.services, keyServices)
	r.checkDeclaredName(CodeUnknownKind, level, at.Kind, t.Kinds(at.Service), "service."+at.Service+".kind")
	if len(r.problems) > 0 {
		return &r.problems[0]
	}

	return nil
}
