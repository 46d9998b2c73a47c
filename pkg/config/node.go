package config

import "time"

// Node is the settings file of one node process.
type Node struct {
	// Name identifies the node in the fleet.
	Name       string   `toml:"name"`
	DataCentre string   `toml:"dataCentre"`
	Service    string   `toml:"service"`
	Listen     Listen   `toml:"listen"`
	Backend    Backend  `toml:"backend"`
	Platform   Platform `toml:"platform"`
	Fleet      Fleet    `toml:"fleet"`
	Log        Log      `toml:"log"`
	// Tree is a file with the settings tree that serves until a revision is accepted, empty for the defaults.
	Tree string `toml:"tree"`
	// Processors is the most processors that the node's own code runs on at once.
	Processors int `toml:"processors"`
	// Policy selects the decisions, "adaptive" or for comparison "baseline".
	Policy string `toml:"policy"`
}

// Listen names the addresses a node listens on, port 0 for a free one.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Control   string `toml:"control"`
	Backend   string `toml:"backend"`
	Operators string `toml:"operators"`
	// Ready is a file to which the bound addresses are written as TOML, empty for none.
	Ready string `toml:"ready"`
}

// Backend describes the backend server beside the node, Address empty for an entry without one.
type Backend struct {
	Address     string `toml:"address"`
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
	// Health is the path that is asked before the node serves, empty for none.
	Health string `toml:"health"`
	// OrphanCalls says what becomes of outgoing calls without a parent, "refuse" or "root".
	OrphanCalls string `toml:"orphanCalls"`
}

// Platform says where the table service and the object store are, empty for none.
type Platform struct {
	Table   string   `toml:"table"`
	Objects string   `toml:"objects"`
	Timeout Duration `toml:"timeout"`
}

// Fleet holds the timing of membership and the first contacts.
type Fleet struct {
	Seeds    []string `toml:"seeds"`
	Gossip   Duration `toml:"gossip"`
	Probe    Duration `toml:"probe"`
	Suspect  Duration `toml:"suspect"`
	Contacts Duration `toml:"contacts"`
	Poll     Duration `toml:"poll"`
	// Targets are fixed members for tests and first steps, beside those that are learnt.
	Targets []Target `toml:"targets"`
}

// Target is a fixed member.
type Target struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	Service    string `toml:"service"`
	Peers      string `toml:"peers"`
	Control    string `toml:"control"`
}

// Log selects the log level and the size of the decision log's buffer in lines.
type Log struct {
	Level     string `toml:"level"`
	Decisions bool   `toml:"decisions"`
	Buffer    int    `toml:"buffer"`
}

// Duration is a time.Duration written as in "250ms".
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

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
