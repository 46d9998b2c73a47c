// Package config holds the settings of one node process, their defaults and their checks.
package config
