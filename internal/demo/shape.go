package demo

import (
	"io/fs"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Names of the examples.
const (
	Rijksbureau = "rijksbureau"
	Vysocina    = "vysocina"
)

// ErrUnknownExample is returned for a name that is not shipped.
var ErrUnknownExample = errors.New("unknown example")

// serviceShape is one service of an example, scaled down to one process.
type serviceShape struct {
	name    string
	targets int
	slots   int
	routes  []fake.Route
}

// Sizes of answers in bytes.
const (
	smallAnswer   = 512
	listAnswer    = 16 << 10
	archiveAnswer = 4 << 20
)

// Service times of the stand-ins.
const (
	shortWork = 4 * time.Millisecond
	longWork  = 10 * time.Millisecond
)

const (
	get  = "GET"
	post = "POST"
)

func shapes(example string) ([]serviceShape, error) {
	switch example {
	case Rijksbureau:
		return rijksbureau(), nil
	case Vysocina:
		return vysocina(), nil
	default:
		return nil, errors.Wrapf(ErrUnknownExample, "%q", example)
	}
}

func rijksbureau() []serviceShape {
	return []serviceShape{
		{name: "logboek", targets: 5, slots: 13, routes: []fake.Route{
			{Method: post, Prefix: "/cells/", Work: shortWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/cells/", Work: longWork, Bytes: listAnswer},
			{Method: get, Prefix: "/export/", Work: longWork, Bytes: listAnswer},
		}},
		{name: "keuring", targets: 5, slots: 13, routes: []fake.Route{
			{Method: post, Prefix: "/signoffs", Work: longWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/inspections/", Work: longWork, Bytes: listAnswer},
			{Method: get, Prefix: "/register/", Work: longWork, Bytes: listAnswer},
		}},
		{name: "certificaat", targets: 4, slots: 16, routes: []fake.Route{
			{Method: get, Prefix: "/certificates/", Work: shortWork, Bytes: archiveAnswer, Archive: true},
			{Method: post, Prefix: "/certificates", Work: longWork, Bytes: smallAnswer},
		}},
		{name: "alarm", targets: 4, slots: 2, routes: []fake.Route{
			{Method: post, Prefix: "/alarms", Work: shortWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/alarms", Work: shortWork, Bytes: smallAnswer},
		}},
	}
}

func vysocina() []serviceShape {
	return []serviceShape{
		{name: "vitrina", targets: 5, slots: 5, routes: []fake.Route{
			{Method: get, Prefix: "/", Work: longWork, Bytes: listAnswer},
			{Method: post, Prefix: "/", Work: longWork, Bytes: smallAnswer},
		}},
		{name: "pokladna", targets: 4, slots: 5, routes: []fake.Route{
			{Method: post, Prefix: "/", Work: longWork, Bytes: smallAnswer},
			{Method: get, Prefix: "/", Work: shortWork, Bytes: smallAnswer},
		}},
		{name: "archiv", targets: 4, slots: 5, routes: []fake.Route{
			{Method: get, Prefix: "/", Work: shortWork, Bytes: archiveAnswer, Archive: true},
		}},
		{name: "kalendar", targets: 4, slots: 2, routes: []fake.Route{
			{Method: get, Prefix: "/", Work: shortWork, Bytes: smallAnswer},
			{Method: post, Prefix: "/", Work: shortWork, Bytes: smallAnswer},
		}},
	}
}

func loadTree(examples fs.FS, example string) (*tree.Tree, error) {
	text, err := fs.ReadFile(examples, "examples/"+example+"/tree.toml")
	if err != nil {
		return nil, errors.Wrap(err, "read example")
	}

	return tree.Parse(string(text))
}
