package config

import "time"

// Node holds the settings of one node process.
type Node struct {
	// Name identifies the node in the fleet.
	Name string `toml:"name"`
	// DataCentre is the data centre of the VM on which the node runs.
	DataCentre string `toml:"dataCentre"`
	// Service is the service of the local backend server, empty if there is none.
	Service  string   `toml:"service"`
	Listen   Listen   `toml:"listen"`
	Backend  Backend  `toml:"backend"`
	Platform Platform `toml:"platform"`
	Fleet    Fleet    `toml:"fleet"`
	Log      Log      `toml:"log"`
	// Tree is a file with the settings tree that is used until a revision is accepted, empty for the default policies.
	Tree string `toml:"tree"`
	// Processors is the maximum number of processors that the node process uses at the same time (GOMAXPROCS).
	Processors int `toml:"processors"`
	// Policy selects the algorithms for admission, routing and retries: "adaptive", or "baseline" with fixed ones for comparison.
	Policy string `toml:"policy"`
}

// Listen holds the addresses on which a node listens; port 0 selects a free port.
type Listen struct {
	// Callers accepts requests of callers.
	Callers string `toml:"callers"`
	// Peers accepts requests that other nodes forward.
	Peers string `toml:"peers"`
	// Control accepts net/rpc calls of other nodes.
	Control string `toml:"control"`
	// Backend accepts outgoing calls of the local backend server.
	Backend string `toml:"backend"`
	// Operators accepts requests of operators.
	Operators string `toml:"operators"`
	// Ready is a file to which the node writes the bound addresses as TOML, empty for none.
	Ready string `toml:"ready"`
}

// Backend describes the local backend server, the one beside the node; Address is empty for an entry node without one.
type Backend struct {
	Address string `toml:"address"`
	// Slots is the number of requests that the backend server handles at the same time.
	Slots int `toml:"slots"`
	// Connections is the maximum number of connections that the backend server accepts; entry nodes derive the size of their
	// target subsets from it.
	Connections int `toml:"connections"`
	// Health is the path of the health check that must succeed before the node serves, empty for none.
	Health string `toml:"health"`
	// OrphanCalls selects how outgoing calls of the backend server without a parent request are handled: "refuse" rejects them,
	// "root" treats them as root requests.
	OrphanCalls string `toml:"orphanCalls"`
}

// Platform holds the addresses of the table service and the object store, empty for none.
type Platform struct {
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	// Timeout is the maximum duration of a request to either of them.
	Timeout Duration `toml:"timeout"`
}

// Fleet holds the intervals of the membership protocol and the addresses of the nodes to contact first.
type Fleet struct {
	// Seeds are the control addresses of the nodes to contact first.
	Seeds []string `toml:"seeds"`
	// Gossip is the interval at which membership changes are sent to other nodes.
	Gossip Duration `toml:"gossip"`
	// Probe is the interval at which a random node is probed.
	Probe Duration `toml:"probe"`
	// Suspect is how long a suspected node has to refute the suspicion.
	Suspect Duration `toml:"suspect"`
	// Contacts is the mean interval at which the contact addresses in the table service are read.
	Contacts Duration `toml:"contacts"`
	// Poll is the mean interval at which the table service is checked for a new revision of the settings tree.
	Poll Duration `toml:"poll"`
	// Targets are static members, for tests and first experiments, in addition to those found by gossip.
	Targets []Target `toml:"targets"`
}

// Target is a static member of the fleet.
type Target struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	Service    string `toml:"service"`
	// Peers and Control are the addresses of the member, as in Listen.
	Peers   string `toml:"peers"`
	Control string `toml:"control"`
}

// Log configures the logs of the node.
type Log struct {
	Level string `toml:"level"`
	// Decisions enables the decision log, and Buffer is the size of its buffer in lines.
	Decisions bool `toml:"decisions"`
	Buffer    int  `toml:"buffer"`
}

// Duration is a time.Duration that is written with its unit, as in "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)

	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
