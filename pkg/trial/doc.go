// Package trial is the life of a settings proposal: proposed, on trial on a bounded share of nodes, then accepted, refused or expired.
package trial
