// Package config loads the TOML settings file of one node process, sets defaults and checks the values.
// Policies of requests are not part of it: they are in the settings tree that all nodes share, see package tree.
package config
