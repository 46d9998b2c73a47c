// Package tree holds the settings tree: its parsing, inheritance, rails, differences and merges.
package tree
