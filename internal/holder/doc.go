// Package holder is the service `holder`: it keeps the settings revision in force, spreads revisions and runs trials of proposals.
package holder
